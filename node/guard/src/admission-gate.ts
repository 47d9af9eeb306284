import {AdmissionQueue} from '@buckthornpoint/admission/admission-queue.js';
import type {ConcurrencyLimit} from '@buckthornpoint/admission/concurrency-limit.js';
import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {RequestClass} from '@buckthornpoint/types/configuration.js';

const waitingPerSlot = 16;
const minRetryAfterMs = 20;
const maxRetryAfterMs = 2000;
const hopelessShare = 0.5;

/** What a gate works with. */
export type AdmissionGateOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly limit: ConcurrencyLimit;
	readonly slots: number;
};

/** A request that asks to be admitted. */
export type Applicant = {
	readonly requestClass: RequestClass;
	/** End of the request's time, on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	readonly signal: AbortSignal;
};

/** Whether a request may be handed over. `shed` says when to ask again; `cancelled` that nobody waits any more. */
export type Admission
	= | {readonly kind: 'admitted'}
		| {readonly kind: 'cancelled'}
		| {readonly kind: 'shed'; readonly retryAfterMs: number};

type Entry = Applicant & {
	readonly settle: (admission: Admission) => void;
};

/** Lets requests through to one run of a backend server, within its limit and in the order of their classes. */
export class AdmissionGate {
	readonly #opts: AdmissionGateOpts;
	readonly #queue: AdmissionQueue<Entry>;
	#running = 0;
	#closed = false;

	constructor(opts: AdmissionGateOpts) {
		this.#opts = opts;
		this.#queue = new AdmissionQueue(opts.slots * waitingPerSlot);
	}

	/** Returns how many requests run. */
	countRunning(): number {
		return this.#running;
	}

	/** Returns how many requests wait. */
	countWaiting(): number {
		return this.#queue.count();
	}

	/** Waits until the request may be handed over, or says at once that it can't be in time. After `admitted`, `release` must follow. */
	async admit(applicant: Applicant): Promise<Admission> {
		if (applicant.signal.aborted) {
			return {kind: 'cancelled'};
		}

		if (this.#queue.count() === 0 && this.#running < this.#opts.limit.getLimit()) {
			this.#running++;
			return {kind: 'admitted'};
		}

		if (this.#closed || this.#estimateWait(applicant.requestClass) + this.#opts.limit.measureLatency() > this.#measureRemaining(applicant)) {
			return this.#createShed();
		}

		return this.#wait(applicant);
	}

	/** Gives back the place of an admitted request, and lets others through. */
	release(): void {
		this.#running--;
		this.#advance();
	}

	/** Refuses all that wait. */
	close(): void {
		this.#closed = true;
		for (let entry = this.#queue.pick(); entry !== undefined; entry = this.#queue.pick()) {
			entry.settle(this.#createShed());
		}
	}

	async #wait(applicant: Applicant): Promise<Admission> {
		let timer: Timer | undefined;
		let cancel: (() => void) | undefined;
		const admission = await new Promise<Admission>(resolve => {
			const entry: Entry = {...applicant, settle: resolve};
			cancel = () => {
				this.#queue.remove(entry);
				resolve({kind: 'cancelled'});
			};

			applicant.signal.addEventListener('abort', cancel, {once: true});
			timer = this.#opts.clock.startTimer(this.#measureRemaining(applicant) - this.#opts.limit.measureLatency(), () => {
				this.#queue.remove(entry);
				resolve(this.#createShed());
			});
			this.#queue.add({item: entry, requestClass: applicant.requestClass})?.settle(this.#createShed());
		});
		timer?.close();
		if (cancel !== undefined) {
			applicant.signal.removeEventListener('abort', cancel);
		}

		return admission;
	}

	#advance(): void {
		while (this.#running < this.#opts.limit.getLimit()) {
			const entry = this.#queue.pick();
			if (entry === undefined) {
				return;
			}

			if (this.#running > 0 && this.#measureRemaining(entry) < this.#opts.limit.measureLatency() * hopelessShare) {
				entry.settle(this.#createShed());
				continue;
			}

			this.#running++;
			entry.settle({kind: 'admitted'});
		}
	}

	#estimateWait(requestClass: RequestClass): number {
		return (this.#queue.countAhead(requestClass) + 1) * this.#opts.limit.measureLatency() / this.#opts.limit.getLimit();
	}

	#measureRemaining(applicant: Applicant): number {
		return applicant.deadlineMs - this.#opts.clock.readMoment().monotonicMs;
	}

	/** The time in which what waits now is served, with jitter, so that those refused together do not return together. */
	#createShed(): Admission {
		const drainMs = (this.#queue.count() + 1) * this.#opts.limit.measureLatency() / this.#opts.limit.getLimit();
		const bounded = Math.min(Math.max(drainMs, minRetryAfterMs), maxRetryAfterMs);
		return {kind: 'shed', retryAfterMs: Math.ceil(bounded * (1 + this.#opts.random.drawFraction()))};
	}
}
