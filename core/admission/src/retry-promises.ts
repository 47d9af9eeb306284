/** A returning caller's time of its first attempt is estimated from its deadline; transit, the queue before the node and whole milliseconds shift it by this much. */
const firstToleranceMs = 25;

/** A caller may come back this much before its time, so that a timer that is rounded down does not cost it its place. With the tolerance above it stays below the shortest retry time, so that no first attempt takes a promise. */
const earlyMs = 20;

/** How long capacity stays set aside after the promised time: covers the caller's timer, a new connection and the offers to other nodes. */
const graceMs = 150;

/** Who a promise is made to. Attempts have different ids and may arrive through different nodes; the kind and the time of the first attempt stay. */
export type PromiseHolder = {
	readonly kind: string;
	/** Estimated time of the caller's first attempt, on the queue's clock. */
	readonly firstMs: number;
};

/** Returns whether an attempt may be that of the caller to whom a time was promised, and comes no earlier than then. */
export function isReturnOf(promise: PromiseHolder & {readonly dueMs: number}, {kind, firstMs}: PromiseHolder, nowMs: number): boolean {
	return promise.kind === kind && Math.abs(promise.firstMs - firstMs) <= firstToleranceMs && promise.dueMs <= nowMs + earlyMs;
}

type RetryPromise = PromiseHolder & {readonly dueMs: number; readonly serviceMs: number};

/** A request for a promise. */
export type PromiseRequest = PromiseHolder & {
	readonly serviceMs: number;
	readonly fromMs: number;
	readonly untilMs: number;
	/** Least time between two promises of the kind: the time in which the capacity set aside for the kind serves one request. */
	readonly spacingMs: number;
};

/** Times at which refused callers were told to come back, with capacity set aside for them. Promises of one kind are spaced, so that callers do not come back at once. */
export class RetryPromises {
	#promises: readonly RetryPromise[] = [];
	/** The latest promised time of each kind that was claimed or has passed. The spacing counts from it, so that promises that were kept take part of the capacity, too. */
	readonly #lastMsByKind = new Map<string, number>();

	get size(): number {
		return this.#promises.length;
	}

	/** Promises the earliest time that is free for the kind; undefined if there is none up to `untilMs`. */
	promise({kind, firstMs, serviceMs, fromMs, untilMs, spacingMs}: PromiseRequest): number | undefined {
		const dueMs = this.findFree({kind, fromMs, spacingMs});
		if (dueMs > untilMs) {
			return undefined;
		}

		this.#promises = [...this.#promises, {
			kind, firstMs, dueMs, serviceMs,
		}].toSorted((left, right) => left.dueMs - right.dueMs);
		return dueMs;
	}

	/** Finds the earliest time from `fromMs` with the spacing to all promises of the kind. */
	findFree({kind, fromMs, spacingMs}: Pick<PromiseRequest, 'kind' | 'fromMs' | 'spacingMs'>): number {
		let freeMs = Math.max(fromMs, (this.#lastMsByKind.get(kind) ?? Number.NEGATIVE_INFINITY) + spacingMs);
		for (const promise of this.#promises) {
			if (promise.kind === kind && promise.dueMs > freeMs - spacingMs) {
				if (promise.dueMs >= freeMs + spacingMs) {
					break;
				}

				freeMs = promise.dueMs + spacingMs;
			}
		}

		return freeMs;
	}

	/** Takes the promise that a returning caller holds. Returns false if it holds none that is due. */
	consume(holder: PromiseHolder, nowMs: number): boolean {
		let claimed: RetryPromise | undefined;
		for (const promise of this.#promises) {
			if (isReturnOf(promise, holder, nowMs) && (claimed === undefined || Math.abs(promise.dueMs - nowMs) < Math.abs(claimed.dueMs - nowMs))) {
				claimed = promise;
			}
		}

		if (claimed === undefined) {
			return false;
		}

		this.#recordPast(claimed);
		this.#promises = this.#promises.filter(promise => promise !== claimed);
		return true;
	}

	/** Counts the callers that are to come back up to a time. */
	countDue(untilMs: number): number {
		return this.#promises.filter(({dueMs}) => dueMs <= untilMs).length;
	}

	/** Returns the total service time of the callers that are to come back up to a time. */
	measureDue(untilMs: number): number {
		let totalMs = 0;
		for (const {dueMs, serviceMs} of this.#promises) {
			totalMs += dueMs <= untilMs ? serviceMs : 0;
		}

		return totalMs;
	}

	/** Removes promises whose callers did not come back in time. Returns their number. */
	expire(nowMs: number): number {
		return this.#filter(promise => {
			const isKept = promise.dueMs + graceMs >= nowMs;
			if (!isKept) {
				this.#recordPast(promise);
			}

			return isKept;
		});
	}

	/** Ends the promises that a server with less capacity can't keep: of those of a kind that are closer than its spacing, only the first stays. Returns the number of ended ones. */
	evictBeyond(getSpacingMs: (kind: string) => number): number {
		const lastMsByKind = new Map<string, number>();
		return this.#filter(({kind, dueMs}) => {
			const isKept = dueMs - (lastMsByKind.get(kind) ?? Number.NEGATIVE_INFINITY) >= getSpacingMs(kind);
			if (isKept) {
				lastMsByKind.set(kind, dueMs);
			}

			return isKept;
		});
	}

	/** Ends all promises. Returns their number. */
	evictAll(): number {
		this.#lastMsByKind.clear();
		return this.#filter(() => false);
	}

	#recordPast({kind, dueMs}: RetryPromise): void {
		this.#lastMsByKind.set(kind, Math.max(dueMs, this.#lastMsByKind.get(kind) ?? dueMs));
	}

	#filter(isKept: (promise: RetryPromise) => boolean): number {
		const before = this.#promises.length;
		this.#promises = this.#promises.filter(promise => isKept(promise));
		return before - this.#promises.length;
	}
}
