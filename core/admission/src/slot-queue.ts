import {FairSharing, noSharingCounts, type SharingCounts} from './fair-sharing.js';
import {RankedQueue} from './ranked-queue.js';
import {ServiceTimes} from './service-times.js';
import type {
	KindWait, QueuePosition, SlotQueueLoad, SlotRefusal, SlotRequest, WaitingRequest,
} from './slot-request.js';
import {StartLimits} from './start-limits.js';

export type SlotQueueOpts = {
	readonly slots: number;
};

/** Bounds of the time after which a refused caller may retry. */
const minRetryAfterMs = 50;
const maxRetryAfterMs = 1000;

/** Ranks per priority: callers that come back as promised, short requests within their target, other requests within their target, short late requests, other late requests. */
const ranksPerPriority = 5;
const shortRank = 1;
const longRank = 2;
const lateRankOffset = 2;

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
	readonly #serviceTimes = new ServiceTimes();
	readonly #limits = new StartLimits();
	#closedRetryAfterMs: number | undefined;
	/** Sharing among kinds of different priority; undefined where all requests of the service have the same. */
	#sharing: FairSharing | undefined;
	#sharingCounts = noSharingCounts;

	constructor(opts: SlotQueueOpts) {
		this.#slots = opts.slots;
	}

	setSlots(slots: number): void {
		this.#slots = slots;
	}

	/** Limits the starts per second while the server is cold; undefined removes the limit. */
	setColdLimit(startsPerSecond: number | undefined): void {
		this.#limits.setColdLimit(startsPerSecond);
	}

	/** Limits the rate of starts, warm or cold; undefined removes the limit. */
	setRateLimit(perS: number | undefined, nowMs: number): void {
		if (this.#limits.setRateLimit(perS, nowMs)) {
			this.#refuseUnservable(nowMs);
		}
	}

	/** Turns on or off the sharing among kinds of different priority. Waiting requests stay; promises end when it is turned off. */
	setSharing(isShared: boolean): void {
		if (isShared !== (this.#sharing !== undefined)) {
			this.#sharing?.revokePromises();
			this.#sharingCounts = this.readSharingCounts();
			this.#sharing = isShared ? new FairSharing(this.#sharingCounts) : undefined;
		}
	}

	/** Sets the present execution time as a multiple of the mean. */
	setSlowness(slowness: number, nowMs: number): void {
		this.#sharing?.setSlowness(slowness, this.#readStartsPerMs());
		this.#sharing?.expire(nowMs);
	}

	readSharingCounts(): SharingCounts {
		return this.#sharing?.counts ?? this.#sharingCounts;
	}

	/** Starts, queues or refuses the request. The returned function cancels it while it waits. */
	add(request: SlotRequest, nowMs: number): () => void {
		const {kind, firstMs} = request;
		const serviceMs = this.#serviceTimes.getMs(kind);
		const kindRank = this.#serviceTimes.isShort(kind) ? shortRank : longRank;
		this.#sharing?.recordOffered(request);
		const isClaimed = firstMs !== undefined && this.#sharing?.consume({kind, firstMs}, nowMs) === true;
		const waiting: WaitingRequest = {
			...request, isRemoved: false, isLate: false, isClaimed, rank: (request.priority * ranksPerPriority) + (isClaimed ? 0 : kindRank), serviceMs,
		};
		const refusal = this.#checkArrival(waiting, nowMs);
		if (refusal !== undefined) {
			this.#refuse(waiting, refusal);
			return () => undefined;
		}

		this.#waiting.add(waiting);
		this.startWaiting(nowMs);
		this.#evictUnservable(waiting, nowMs);
		return () => {
			if (isClaimed && !waiting.isRemoved) {
				this.#sharing?.recordClaimEnded(kind, true);
			}

			this.#waiting.remove(waiting);
		};
	}

	/** Releases the slot of a request that ran for `serviceMs`; undefined if that time must not count as a sample. */
	release(kind: string, serviceMs: number | undefined, nowMs: number): void {
		this.#running--;
		if (serviceMs !== undefined) {
			this.#serviceTimes.record(kind, serviceMs);
		}

		this.startWaiting(nowMs);
	}

	/** Starts waiting requests while slots are free, and refuses those whose deadline is too close. Called whenever time has passed. */
	startWaiting(nowMs: number): void {
		for (let next = this.#peek(nowMs); next !== undefined; next = this.#peek(nowMs)) {
			const isExpired = nowMs + (this.#serviceTimes.meanMs * minRemainingServiceRatio) >= next.endMs;
			if (!isExpired && (this.#running >= this.#slots || !this.#limits.mayStart(nowMs))) {
				return;
			}

			this.#waiting.remove(next);
			if (isExpired) {
				this.#refuse(next, {reason: 'expired', retryAfterMs: minRetryAfterMs});
			} else {
				this.#running++;
				this.#sharing?.recordStarted(next.kind, next.isClaimed);
				this.#limits.recordStarted(nowMs);
				next.start();
			}
		}
	}

	/** Refuses late requests, at any position in the queue, that can no longer be answered in time. Called periodically. */
	expireWaiting(nowMs: number): void {
		for (const waiting of this.#waiting.pickWhere(each => this.#isOverdue(each, nowMs))) {
			this.#refuse(waiting, this.#createRefusal(waiting, nowMs));
		}
	}

	/** Refuses all waiting and all future requests, with the time after which callers may retry. */
	close(retryAfterMs = minRetryAfterMs): void {
		this.#closedRetryAfterMs = retryAfterMs;
		this.refuseWaiting('closed', retryAfterMs);
	}

	/** Refuses all waiting requests and ends all promised retry times; later requests are still accepted. */
	refuseWaiting(reason: SlotRefusal['reason'], retryAfterMs = minRetryAfterMs): void {
		this.#sharing?.revokePromises();
		for (const waiting of this.#waiting.pickWhere(() => true)) {
			this.#refuse(waiting, {reason, retryAfterMs});
		}
	}

	readLoad(): SlotQueueLoad {
		return {
			running: this.#running, waiting: this.#waiting.size, slots: this.#slots, serviceMs: this.#serviceTimes.meanMs,
		};
	}

	/** Estimates what a first attempt of each offered kind has to expect; undefined without sharing. */
	listWaits(nowMs: number): readonly KindWait[] | undefined {
		return this.#sharing?.listWaits({
			startsPerMs: this.#readStartsPerMs(), nowMs, getServiceMs: kind => this.#serviceTimes.getMs(kind),
			estimateWait: (kind, priority) => this.#estimateWait({kind, rank: (priority * ranksPerPriority) + longRank, isLate: false}, nowMs),
		});
	}

	/** Refuses waiting requests that the rate limit no longer lets through in time. */
	#refuseUnservable(nowMs: number): void {
		let startsAhead = 0;
		const refused = this.#waiting.pickWhere(({serviceMs, endMs, targetEndMs, lateEndMs}) => {
			const answerMs = nowMs + this.#limits.estimateRateWait(startsAhead, nowMs) + serviceMs;
			const isServable = answerMs <= Math.min(endMs, Math.max(targetEndMs, lateEndMs));
			startsAhead += isServable ? 1 : 0;
			return !isServable;
		});
		for (const waiting of refused) {
			this.#refuse(waiting, this.#createRefusal(waiting, nowMs));
		}
	}

	#refuse(waiting: WaitingRequest, refusal: SlotRefusal): void {
		if (waiting.isClaimed) {
			this.#sharing?.recordClaimEnded(waiting.kind, false);
		}

		waiting.refuse(refusal);
	}

	/** Refuses the less urgent waiting requests that can no longer be answered in time behind one that has arrived, so that their callers need not wait for it. */
	#evictUnservable({priority}: WaitingRequest, nowMs: number): void {
		for (const waiting of this.#sharing?.pickDisplaced(this.#waiting, {priority, slots: this.#slots, meanMs: this.#serviceTimes.meanMs}, nowMs) ?? []) {
			this.#refuse(waiting, {...this.#createRefusal(waiting, nowMs), reason: 'displaced'});
		}
	}

	/** Returns the next request. Requests that can no longer meet their target are moved behind those that can. */
	#peek(nowMs: number): WaitingRequest | undefined {
		let next = this.#waiting.peek();
		while (next?.isLate === false && !next.isClaimed && nowMs + next.serviceMs > next.targetEndMs) {
			this.#waiting.pick();
			this.#setLate(next);
			this.#waiting.add(next);
			next = this.#waiting.peek();
		}

		return next === undefined ? undefined : this.#sharing?.peekOwed(this.#waiting, next.kind) ?? next;
	}

	#setLate(waiting: WaitingRequest): void {
		waiting.isLate = true;
		waiting.rank += lateRankOffset;
	}

	#isOverdue({isLate, serviceMs, lateEndMs}: WaitingRequest, nowMs: number): boolean {
		return isLate && nowMs + (serviceMs * minRemainingServiceRatio) >= lateEndMs;
	}

	/** Returns why an arriving request is refused; undefined if it can start or wait. */
	#checkArrival(request: WaitingRequest, nowMs: number): SlotRefusal | undefined {
		if (this.#closedRetryAfterMs !== undefined) {
			return {reason: 'closed', retryAfterMs: this.#closedRetryAfterMs};
		}

		if (request.isClaimed) {
			return undefined;
		}

		const waitMs = this.#estimateWait(request, nowMs);
		if (waitMs === 0 || (request.mayWait && nowMs + waitMs + request.serviceMs <= Math.min(request.targetEndMs - (this.#sharing?.getMarginMs(request.serviceMs) ?? 0), request.endMs))) {
			return undefined;
		}

		this.#setLate(request);
		const mayBeLate = nowMs + this.#estimateWait(request, nowMs) + request.serviceMs <= Math.min(request.endMs, request.lateEndMs);
		return request.mayWait && mayBeLate ? undefined : this.#createRefusal(request, nowMs);
	}

	#createRefusal(request: WaitingRequest, nowMs: number): SlotRefusal {
		const waitMs = this.#estimateWait(request, nowMs);
		const startsAhead = this.#waiting.measureUpTo(request.rank).count;
		if (this.#limits.hasRateLimit && this.#limits.estimateRateWait(startsAhead, nowMs) === waitMs) {
			return {reason: 'limited', retryAfterMs: Math.max(minRetryAfterMs, this.#limits.promiseRetry(startsAhead, request, nowMs))};
		}

		const reason = this.#limits.isCold ? 'cold' : 'overloaded';
		const {firstMs, mayWait} = request;
		if (this.#sharing !== undefined && firstMs !== undefined && mayWait) {
			return {reason, ...this.#sharing.promiseRetry({...request, firstMs}, this.#readStartsPerMs(), nowMs)};
		}

		return {reason, retryAfterMs: Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs))};
	}

	/** Returns the rate of starts that the slots and the cold limit allow at the mean speed. */
	#readStartsPerMs(): number {
		return Math.min(this.#slots / Math.max(1, this.#serviceTimes.meanMs), this.#limits.coldPerMs);
	}

	/** Estimates how long a request waits until the requests ahead of it are done and a slot is free. */
	#estimateWait(request: QueuePosition, nowMs: number): number {
		const requestsAhead = this.#waiting.measureUpTo(request.rank);
		const unsharedMs = this.#limits.estimateWait(requestsAhead.count, nowMs);
		const rateMs = this.#sharing === undefined || unsharedMs === 0 ? unsharedMs : this.#limits.estimateWait(requestsAhead.count + this.#sharing.countDue(unsharedMs, nowMs), nowMs);
		if (this.#running < this.#slots && requestsAhead.count === 0) {
			return rateMs;
		}

		const slots = Math.max(1, this.#slots);
		const waitMs = (requestsAhead.totalServiceMs + this.#serviceTimes.meanMs) / slots;
		return Math.max(rateMs, this.#sharing?.estimateWait(request, {
			waiting: this.#waiting, waitMs, slots, meanMs: this.#serviceTimes.meanMs,
		}, nowMs) ?? waitMs);
	}
}

/** A request whose remaining time is below this part of the service time is not worth starting. */
const minRemainingServiceRatio = 0.3;
