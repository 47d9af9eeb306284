import type {RankedQueue} from './ranked-queue.js';
import {RetryPromises, type PromiseHolder} from './retry-promises.js';
import type {KindWait, QueuePosition, WaitingRequest} from './slot-request.js';
import {StartShares} from './start-shares.js';

/** Part of the server's capacity that is set aside for callers that come back as told. */
const promiseShare = 0.3;

/** Promises past the caller's target are made at this part of the rate of the others, so that they leave room for answers within the target. */
const latePromiseRatio = 0.1;

/** Service times vary: a start this multiple of the mean service time before the end of the target mostly meets it. */
const marginRatio = 1.5;

/** Callers wait at most this part of the time that they have left. */
const maxWaitShare = 1 / 3;

/** Shortest retry time, so that a caller does not return before its refusal has shown effect. */
const minRetryAfterMs = 50;

/** Bounds of the reported slowness. Servers slow down to a third; a larger value is not believed, nor is a speed above the mean. */
const minSlowness = 1;
const maxSlowness = 4;

/** A request that is refused. */
export type RefusedRequest = PromiseHolder & {
	readonly serviceMs: number;
	readonly targetEndMs: number;
	readonly endMs: number;
};

/** The queue in which a request waits. `waitMs` is the time that those ahead of it take at the mean speed. */
export type SharedWait = {readonly waiting: RankedQueue<WaitingRequest>; readonly waitMs: number; readonly slots: number; readonly meanMs: number};

/** What the expectations of first attempts follow from. */
export type WaitSources = {
	readonly startsPerMs: number;
	readonly nowMs: number;
	readonly getServiceMs: (kind: string) => number;
	readonly estimateWait: (kind: string, priority: number) => number;
};

/** An arriving request before which less urgent ones may have to go. */
export type DisplacingRequest = {readonly priority: number; readonly slots: number; readonly meanMs: number};

/** When a refused caller may retry, and whether capacity was set aside for it. */
export type PromisedRetry = {readonly retryAfterMs: number; readonly isPromised: boolean};

/** Events counted since the sharing was created, for operators. */
export type SharingCounts = {
	readonly promised: number;
	readonly kept: number;
	/** Callers that came back at their time and were refused. */
	readonly broken: number;
	/** Promises ended because the server was lost, changed or slowed down. */
	readonly ended: number;
	/** Promises whose callers did not come back. */
	readonly unclaimed: number;
	/** Waiting requests refused in favour of more urgent ones. */
	readonly displaced: number;
};

/** Counts of a queue that has shared nothing yet. */
export const noSharingCounts: SharingCounts = {
	promised: 0, kept: 0, broken: 0, ended: 0, unclaimed: 0, displaced: 0,
};

/**
 * Sharing of one server's capacity among kinds of requests of different priority, under a load above that capacity.
 * It promises retry times against capacity that it sets aside, and owes each kind a minimum share of the starts.
 */
export class FairSharing {
	readonly #promises = new RetryPromises();
	readonly #shares = new StartShares();
	#counts: SharingCounts;
	#slowness = minSlowness;

	constructor(counts: SharingCounts) {
		this.#counts = counts;
	}

	get counts(): SharingCounts {
		return this.#counts;
	}

	recordOffered({kind, priority}: {readonly kind: string; readonly priority: number}): void {
		this.#shares.recordOffered(kind, priority);
	}

	/** Returns whether the request is that of a caller that comes back at its promised time. */
	consume(holder: PromiseHolder, nowMs: number): boolean {
		this.expire(nowMs);
		const isClaimed = this.#promises.consume(holder, nowMs);
		if (isClaimed) {
			this.#shares.recordClaimed(holder.kind);
		}

		return isClaimed;
	}

	recordStarted(kind: string, isClaimed: boolean): void {
		if (isClaimed) {
			this.#shares.recordClaimEnded(kind);
			this.#add({kept: 1});
		}

		this.#shares.recordStarted(kind);
	}

	/** Records that a caller that came back at its time was refused; with `isCancelled`, that it left. */
	recordClaimEnded(kind: string, isCancelled: boolean): void {
		this.#shares.recordClaimEnded(kind);
		this.#add({broken: isCancelled ? 0 : 1});
	}

	/** Returns how long before the end of its target a request must be expected to end, so that it mostly meets it. */
	getMarginMs(serviceMs: number): number {
		return (marginRatio - 1) * serviceMs;
	}

	/** Returns the first request, within its target, of a kind that is owed a start before those of the kind that is next; undefined if there is none. */
	peekOwed(waiting: RankedQueue<WaitingRequest>, nextKind: string): WaitingRequest | undefined {
		const isOwed = (kind: string): boolean => this.#shares.countOwed(kind) > 0;
		return isOwed(nextKind) ? undefined : waiting.peekWhere(({kind, isLate}) => !isLate && isOwed(kind));
	}

	/** Estimates the wait of a request from the wait behind those ahead of it: callers that are to come back add to it; a request of a kind that is owed starts waits only for those. */
	estimateWait({kind, isLate}: QueuePosition, {waiting, waitMs, slots, meanMs}: SharedWait, nowMs: number): number {
		const owed = this.#shares.countOwed(kind);
		if (!isLate && owed > 0 && waiting.countWhere(each => each.kind === kind) < owed) {
			return owed * meanMs * this.#slowness / slots;
		}

		const slowMs = waitMs * this.#slowness;
		return slowMs + (this.#promises.measureDue(nowMs + slowMs) * this.#slowness / slots);
	}

	/** Counts the callers that are to come back within a time. */
	countDue(withinMs: number, nowMs: number): number {
		return this.#promises.countDue(nowMs + withinMs);
	}

	/** Removes and returns the less urgent waiting requests that can no longer be answered in time and are owed no start. */
	pickDisplaced(waiting: RankedQueue<WaitingRequest>, {priority, slots, meanMs}: DisplacingRequest, nowMs: number): readonly WaitingRequest[] {
		let aheadMs = meanMs;
		const keptByKind = new Map<string, number>();
		const displaced = waiting.pickWhere(each => {
			const kept = keptByKind.get(each.kind) ?? 0;
			const answerMs = nowMs + (((aheadMs / Math.max(1, slots)) + each.serviceMs) * this.#slowness);
			const isKept = each.priority <= priority || each.isClaimed || kept < this.#shares.countOwed(each.kind)
				|| answerMs <= Math.min(each.endMs, Math.max(each.targetEndMs, each.lateEndMs));
			if (isKept) {
				keptByKind.set(each.kind, kept + 1);
				aheadMs += each.serviceMs;
			}

			return !isKept;
		});
		this.#add({displaced: displaced.length});
		return displaced;
	}

	/** Sets the slowness. Promises that the slower server can't keep end. */
	setSlowness(slowness: number, startsPerMs: number): void {
		const previous = this.#slowness;
		this.#slowness = Math.min(maxSlowness, Math.max(minSlowness, slowness));
		if (this.#slowness > previous) {
			this.#add({ended: this.#promises.evictBeyond(kind => this.#getSpacingMs(kind, startsPerMs / this.#slowness))});
		}
	}

	/** Ends all promises: the server was lost or changed, or its capacity is no longer shared. */
	revokePromises(): void {
		this.#add({ended: this.#promises.evictAll()});
	}

	expire(nowMs: number): void {
		this.#add({unclaimed: this.#promises.expire(nowMs)});
	}

	/** Lists what a first attempt of each offered kind has to expect. */
	listWaits({startsPerMs, nowMs, getServiceMs, estimateWait}: WaitSources): readonly KindWait[] {
		return this.#shares.listKinds().map(({kind, priority}) => {
			const serviceMs = getServiceMs(kind) * this.#slowness;
			const freeMs = this.#promises.findFree({kind, fromMs: nowMs + minRetryAfterMs, spacingMs: this.#getSpacingMs(kind, startsPerMs / this.#slowness)});
			return {
				kind, answerMs: Math.round(estimateWait(kind, priority) + serviceMs), retryAfterMs: Math.round(freeMs - nowMs), serviceMs: Math.round(serviceMs * marginRatio),
			};
		});
	}

	/** Promises a retry time that the caller honours, or returns a longer one, without a promise, if no capacity is left until then. */
	promiseRetry(request: RefusedRequest, startsPerMs: number, nowMs: number): PromisedRetry {
		this.expire(nowMs);
		const fromMs = nowMs + minRetryAfterMs;
		const spacingMs = this.#getSpacingMs(request.kind, startsPerMs / this.#slowness);
		const honouredMs = nowMs + ((request.endMs - nowMs) * maxWaitShare);
		const serviceMs = request.serviceMs * this.#slowness;
		const timelyMs = Math.min(honouredMs, request.targetEndMs - (serviceMs * marginRatio));
		const lateMs = Math.min(honouredMs, request.endMs - serviceMs);
		const dueMs = this.#promises.promise({
			...request, fromMs, untilMs: timelyMs, spacingMs,
		}) ?? this.#promises.promise({
			...request, fromMs, untilMs: lateMs, spacingMs: spacingMs / latePromiseRatio,
		});
		if (dueMs !== undefined) {
			this.#add({promised: 1});
			return {retryAfterMs: dueMs - nowMs, isPromised: true};
		}

		const freeMs = this.#promises.findFree({kind: request.kind, fromMs, spacingMs: spacingMs / latePromiseRatio});
		return {retryAfterMs: Math.max(freeMs, honouredMs + minRetryAfterMs) - nowMs, isPromised: false};
	}

	#getSpacingMs(kind: string, startsPerMs: number): number {
		return 1 / Math.max(minStartsPerMs, startsPerMs * promiseShare * this.#shares.getShare(kind));
	}

	#add(added: Partial<SharingCounts>): void {
		const counts = this.#counts;
		this.#counts = {
			promised: counts.promised + (added.promised ?? 0),
			kept: counts.kept + (added.kept ?? 0),
			broken: counts.broken + (added.broken ?? 0),
			ended: counts.ended + (added.ended ?? 0),
			unclaimed: counts.unclaimed + (added.unclaimed ?? 0),
			displaced: counts.displaced + (added.displaced ?? 0),
		};
	}
}

/** Least rate of promises that is computed with: one in 10 s, so that a retry time stays finite. */
const minStartsPerMs = 0.0001;
