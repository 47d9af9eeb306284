import {RankedQueue, type RankedEntry} from './ranked-queue.js';
import {RateWindow} from './rate-window.js';
import {TokenBucket} from './token-bucket.js';

/** A request for a slot of the local backend server. */
export type SlotRequest = {
	/** Requests of priority 0 come first. */
	readonly priority: number;
	/** Whether the request may be queued. Otherwise it is refused if no slot is free, so that the caller can try another server. */
	readonly mayWait: boolean;
	/** Requests of the same kind have similar service times, for example those of one route. */
	readonly kind: string;
	/** When the latency target ends, on the queue's clock: a later response is worth less. */
	readonly targetEndMs: number;
	/** Until when a response that misses the target is still of use, on the queue's clock. */
	readonly lateEndMs: number;
	/** Deadline of the caller on the queue's clock. */
	readonly endMs: number;
	/** Called once when the request gets a slot. */
	readonly start: () => void;
	/** Called once instead of `start` if the request gets no slot. */
	readonly refuse: (refusal: SlotRefusal) => void;
};

/** Why a request got no slot, and after what time the caller may retry. */
export type SlotRefusal = {
	readonly reason: 'overloaded' | 'cold' | 'limited' | 'expired' | 'closed';
	readonly retryAfterMs: number;
};

export type SlotQueueOpts = {
	readonly slots: number;
};

/** Current load of a queue. */
export type SlotQueueLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	readonly serviceMs: number;
};

/** Requests are short if the mean service time of their kind is below this part of the slowest kind's. They come before the others of their priority, which they delay only slightly. */
const maxShortRatio = 0.5;

/** Weight of the newest sample in the mean service times, so that each mean covers about the last 20 requests. */
const sampleWeight = 0.05;

/** Assumed service time before the first measurement. */
const initialServiceMs = 50;

/** Bounds of the time after which a refused caller may retry. */
const minRetryAfterMs = 50;
const maxRetryAfterMs = 1000;

type WaitingRequest = SlotRequest & RankedEntry & {isLate: boolean};

/** Ranks per priority: short requests within their target, other requests within their target, short late requests, other late requests. */
const ranksPerPriority = 4;

/**
 * The slots of one backend server and the requests that wait for them, ordered by priority, then those that can be answered
 * within their target, then short ones, then by arrival. Late requests, which will miss their target, get the slots that
 * the others of their priority leave free. A request that can meet neither its target nor, as a late request, its
 * deadlines is refused on arrival instead of at its deadline.
 *
 * This matters when the load exceeds the capacity of the server, temporarily or permanently. In order of arrival alone,
 * requests that are late anyway, such as retries after a refusal, would delay all others past their targets.
 */
export class SlotQueue {
	readonly #waiting = new RankedQueue<WaitingRequest>();
	#slots: number;
	#running = 0;
	#serviceMs = initialServiceMs;
	readonly #serviceMsByKind = new Map<string, number>();
	#coldWindow: RateWindow | undefined;
	/** Starts that the server's rate limit allows; undefined without a limit. */
	#limitTokens: TokenBucket | undefined;
	/** Times at which callers refused because of the rate limit were told to retry. */
	#promisedMs: readonly number[] = [];
	#closedRetryAfterMs: number | undefined;

	constructor(opts: SlotQueueOpts) {
		this.#slots = opts.slots;
	}

	setSlots(slots: number): void {
		this.#slots = slots;
	}

	/** Limits the starts per second while the server is cold; undefined removes the limit. */
	setColdLimit(startsPerSecond: number | undefined): void {
		if (startsPerSecond === undefined) {
			this.#coldWindow = undefined;
		} else if (this.#coldWindow?.limit !== startsPerSecond) {
			this.#coldWindow = new RateWindow({limit: startsPerSecond, spanMs: 1000, previous: this.#coldWindow});
		}
	}

	/** Limits the rate of starts, warm or cold; undefined removes the limit. */
	setRateLimit(perS: number | undefined, nowMs: number): void {
		if (perS === undefined) {
			this.#limitTokens = undefined;
			this.#promisedMs = [];
		} else if (this.#limitTokens?.perS !== perS) {
			this.#limitTokens = new TokenBucket({perS, nowMs, previous: this.#limitTokens});
			this.#refuseUnservable(nowMs);
		}
	}

	/** Starts, queues or refuses the request. The returned function cancels it while it waits. */
	add(request: SlotRequest, nowMs: number): () => void {
		const serviceMs = this.#serviceMsByKind.get(request.kind) ?? this.#serviceMs;
		const shortRank = serviceMs < Math.max(...this.#serviceMsByKind.values()) * maxShortRatio ? 0 : 1;
		const waiting: WaitingRequest = {
			...request, isRemoved: false, isLate: false, rank: (request.priority * ranksPerPriority) + shortRank, serviceMs,
		};
		const refusal = this.#checkArrival(waiting, nowMs);
		if (refusal !== undefined) {
			request.refuse(refusal);
			return () => undefined;
		}

		this.#waiting.add(waiting);
		this.startWaiting(nowMs);
		return () => {
			this.#waiting.remove(waiting);
		};
	}

	/** Releases the slot of a request that ran for `serviceMs`; undefined if that time must not count as a sample. */
	release(kind: string, serviceMs: number | undefined, nowMs: number): void {
		this.#running--;
		if (serviceMs !== undefined) {
			const kindServiceMs = this.#serviceMsByKind.get(kind) ?? serviceMs;
			this.#serviceMsByKind.set(kind, kindServiceMs + ((serviceMs - kindServiceMs) * sampleWeight));
			this.#serviceMs += (serviceMs - this.#serviceMs) * sampleWeight;
		}

		this.startWaiting(nowMs);
	}

	/** Starts waiting requests while slots are free, and refuses those whose deadline is too close. Called whenever time has passed. */
	startWaiting(nowMs: number): void {
		for (let next = this.#peek(nowMs); next !== undefined; next = this.#peek(nowMs)) {
			const isExpired = nowMs + (this.#serviceMs * minRemainingServiceRatio) >= next.endMs;
			if (!isExpired && (this.#running >= this.#slots || this.#coldWindow?.isFull(nowMs) === true || this.#limitTokens?.hasToken(nowMs) === false)) {
				return;
			}

			this.#waiting.remove(next);
			if (isExpired) {
				next.refuse({reason: 'expired', retryAfterMs: minRetryAfterMs});
			} else {
				this.#running++;
				this.#coldWindow?.record(nowMs);
				this.#limitTokens?.consume(nowMs);
				next.start();
			}
		}
	}

	/** Refuses late requests, at any position in the queue, that can no longer be answered in time. Called periodically. */
	expireWaiting(nowMs: number): void {
		for (const waiting of this.#waiting.pickWhere(each => this.#isOverdue(each, nowMs))) {
			waiting.refuse(this.#createRefusal(waiting, nowMs));
		}
	}

	/** Refuses all waiting and all future requests, with the time after which callers may retry. */
	close(retryAfterMs = minRetryAfterMs): void {
		this.#closedRetryAfterMs = retryAfterMs;
		this.refuseWaiting('closed', retryAfterMs);
	}

	/** Refuses all waiting requests; later requests are still accepted. */
	refuseWaiting(reason: SlotRefusal['reason'], retryAfterMs = minRetryAfterMs): void {
		for (const waiting of this.#waiting.pickWhere(() => true)) {
			waiting.refuse({reason, retryAfterMs});
		}
	}

	readLoad(): SlotQueueLoad {
		return {
			running: this.#running, waiting: this.#waiting.size, slots: this.#slots, serviceMs: this.#serviceMs,
		};
	}

	/** Refuses waiting requests that the rate limit no longer lets through in time. */
	#refuseUnservable(nowMs: number): void {
		let startsAhead = 0;
		const refused = this.#waiting.pickWhere(({serviceMs, endMs, targetEndMs, lateEndMs}) => {
			const answerMs = nowMs + this.#estimateLimitWait(startsAhead, nowMs) + serviceMs;
			const isServable = answerMs <= Math.min(endMs, Math.max(targetEndMs, lateEndMs));
			startsAhead += isServable ? 1 : 0;
			return !isServable;
		});
		for (const waiting of refused) {
			waiting.refuse(this.#createRefusal(waiting, nowMs));
		}
	}

	/** Returns the next request. Requests that can no longer meet their target are moved behind those that can. */
	#peek(nowMs: number): WaitingRequest | undefined {
		let next = this.#waiting.peek();
		while (next?.isLate === false && nowMs + next.serviceMs > next.targetEndMs) {
			this.#waiting.pick();
			this.#setLate(next);
			this.#waiting.add(next);
			next = this.#waiting.peek();
		}

		return next;
	}

	#setLate(waiting: WaitingRequest): void {
		waiting.isLate = true;
		waiting.rank += ranksPerPriority / 2;
	}

	#isOverdue({isLate, serviceMs, lateEndMs}: WaitingRequest, nowMs: number): boolean {
		return isLate && nowMs + (serviceMs * minRemainingServiceRatio) >= lateEndMs;
	}

	/** Returns why an arriving request is refused; undefined if it can start or wait. */
	#checkArrival(request: WaitingRequest, nowMs: number): SlotRefusal | undefined {
		if (this.#closedRetryAfterMs !== undefined) {
			return {reason: 'closed', retryAfterMs: this.#closedRetryAfterMs};
		}

		const waitMs = this.#estimateWait(request, nowMs);
		if (waitMs === 0 || (request.mayWait && nowMs + waitMs + request.serviceMs <= Math.min(request.targetEndMs, request.endMs))) {
			return undefined;
		}

		this.#setLate(request);
		const mayBeLate = nowMs + this.#estimateWait(request, nowMs) + request.serviceMs <= Math.min(request.endMs, request.lateEndMs);
		return request.mayWait && mayBeLate ? undefined : this.#createRefusal(request, nowMs);
	}

	#createRefusal(request: WaitingRequest, nowMs: number): SlotRefusal {
		const waitMs = this.#estimateWait(request, nowMs);
		if (this.#limitTokens !== undefined && this.#estimateLimitWait(this.#waiting.measureUpTo(request.rank).count, nowMs) === waitMs) {
			return {reason: 'limited', retryAfterMs: Math.max(minRetryAfterMs, this.#promiseRetry(request, nowMs))};
		}

		const reason = this.#coldWindow === undefined ? 'overloaded' : 'cold';
		return {reason, retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs))};
	}

	/** Returns the wait until a start is allowed that neither a waiting request nor a caller told to retry earlier takes. */
	#promiseRetry({rank, mayWait, endMs}: WaitingRequest, nowMs: number): number {
		this.#promisedMs = this.#promisedMs.filter(promisedMs => promisedMs > nowMs);
		const waitMs = this.#estimateLimitWait(this.#waiting.measureUpTo(rank).count + this.#promisedMs.length, nowMs);
		// A request that may not wait is offered to another server, and a caller whose deadline is earlier does not retry.
		if (mayWait && nowMs + waitMs < endMs) {
			this.#promisedMs = [...this.#promisedMs, nowMs + waitMs];
		}

		return waitMs;
	}

	/** Estimates the time until the rate limit allows one more start after those ahead of it. */
	#estimateLimitWait(startsAhead: number, nowMs: number): number {
		return this.#limitTokens?.estimateWait(startsAhead + 1, nowMs) ?? 0;
	}

	/** Estimates how long a request waits until the requests ahead of it are done and a slot is free. */
	#estimateWait({rank}: WaitingRequest, nowMs: number): number {
		const requestsAhead = this.#waiting.measureUpTo(rank);
		const coldMs = this.#coldWindow === undefined ? 0 : this.#coldWindow.estimateWait(requestsAhead.count + 1, nowMs);
		const rateMs = Math.max(coldMs, this.#estimateLimitWait(requestsAhead.count, nowMs));
		if (this.#running < this.#slots && requestsAhead.count === 0) {
			return rateMs;
		}

		return Math.max(rateMs, (requestsAhead.totalServiceMs + this.#serviceMs) / Math.max(1, this.#slots));
	}
}

/** A request whose remaining time is below this part of the service time is not worth starting. */
const minRemainingServiceRatio = 0.3;
