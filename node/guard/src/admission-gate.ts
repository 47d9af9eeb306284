import {AdmissionQueue} from '@buckthornpoint/admission/admission-queue.js';
import type {ConcurrencyLimit} from '@buckthornpoint/admission/concurrency-limit.js';
import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {RequestClass} from '@buckthornpoint/types/configuration.js';

const waitingRequestsPerSlot = 16;
const minRetryAfterMs = 20;
const maxRetryAfterMs = 2000;
/** While other requests run, a waiting request with less than this share of the typical latency left is shed, since it could not finish in time. */
const minRemainingLatencyShare = 0.5;

/** Dependencies and settings of an `AdmissionGate`. */
export type AdmissionGateOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly limit: ConcurrencyLimit;
	readonly slots: number;
};

/** A request for admission. */
export type AdmissionRequest = {
	readonly requestClass: RequestClass;
	/** Deadline of the request on the monotonic clock. */
	readonly deadlineMs: number;
	readonly signal: AbortSignal;
};

/** Decision on a request: `shed` carries the delay before a retry; `cancelled` means that the caller no longer waits. */
export type Admission
	= | {readonly kind: 'admitted'}
		| {readonly kind: 'cancelled'}
		| {readonly kind: 'shed'; readonly retryAfterMs: number};

type Entry = AdmissionRequest & {
	readonly settle: (admission: Admission) => void;
};

/** Admits requests to one backend server instance, within its concurrency limit and ordered by request class. */
export class AdmissionGate {
	readonly #opts: AdmissionGateOpts;
	readonly #queue: AdmissionQueue<Entry>;
	#running = 0;
	#closed = false;

	constructor(opts: AdmissionGateOpts) {
		this.#opts = opts;
		this.#queue = new AdmissionQueue(opts.slots * waitingRequestsPerSlot);
	}

	countRunning(): number {
		return this.#running;
	}

	countWaiting(): number {
		return this.#queue.count();
	}

	/** Waits for a free slot, or sheds at once a request that can't meet its deadline. The caller must call `release` after `admitted`. */
	async admit(request: AdmissionRequest): Promise<Admission> {
		if (request.signal.aborted) {
			return {kind: 'cancelled'};
		}

		if (this.#queue.count() === 0 && this.#running < this.#opts.limit.getLimit()) {
			this.#running++;
			return {kind: 'admitted'};
		}

		if (this.#closed || this.#estimateWait(request.requestClass) + this.#opts.limit.getMeanLatencyMs() > this.#measureRemaining(request)) {
			return this.#createShedDecision();
		}

		return this.#wait(request);
	}

	/** Frees the slot of an admitted request and admits waiting ones. */
	release(): void {
		this.#running--;
		this.#advance();
	}

	/** Sheds all waiting requests. */
	close(): void {
		this.#closed = true;
		for (let entry = this.#queue.pick(); entry !== undefined; entry = this.#queue.pick()) {
			entry.settle(this.#createShedDecision());
		}
	}

	async #wait(request: AdmissionRequest): Promise<Admission> {
		let timer: Timer | undefined;
		let cancel: (() => void) | undefined;
		const admission = await new Promise<Admission>(resolve => {
			const entry: Entry = {...request, settle: resolve};
			cancel = () => {
				this.#queue.remove(entry);
				resolve({kind: 'cancelled'});
			};

			request.signal.addEventListener('abort', cancel, {once: true});
			timer = this.#opts.clock.startTimer(this.#measureRemaining(request) - this.#opts.limit.getMeanLatencyMs(), () => {
				this.#queue.remove(entry);
				resolve(this.#createShedDecision());
			});
			this.#queue.add({item: entry, requestClass: request.requestClass})?.settle(this.#createShedDecision());
		});
		timer?.close();
		if (cancel !== undefined) {
			request.signal.removeEventListener('abort', cancel);
		}

		return admission;
	}

	#advance(): void {
		while (this.#running < this.#opts.limit.getLimit()) {
			const entry = this.#queue.pick();
			if (entry === undefined) {
				return;
			}

			if (this.#running > 0 && this.#measureRemaining(entry) < this.#opts.limit.getMeanLatencyMs() * minRemainingLatencyShare) {
				entry.settle(this.#createShedDecision());
				continue;
			}

			this.#running++;
			entry.settle({kind: 'admitted'});
		}
	}

	#estimateWait(requestClass: RequestClass): number {
		return (this.#queue.countAhead(requestClass) + 1) * this.#opts.limit.getMeanLatencyMs() / this.#opts.limit.getLimit();
	}

	#measureRemaining(request: AdmissionRequest): number {
		return request.deadlineMs - this.#opts.clock.readTimestamp().monotonicMs;
	}

	/** Sets the retry delay to the time needed to serve the queue, with jitter: requests that are shed together must not be retried together. */
	#createShedDecision(): Admission {
		const drainMs = (this.#queue.count() + 1) * this.#opts.limit.getMeanLatencyMs() / this.#opts.limit.getLimit();
		const bounded = Math.min(Math.max(drainMs, minRetryAfterMs), maxRetryAfterMs);
		return {kind: 'shed', retryAfterMs: Math.ceil(bounded * (1 + this.#opts.random.generateFraction()))};
	}
}
