/** A holder of at most this many bytes is small: bodies of ordinary requests are up to 30 KB long. */
export const maxSmallBytes = 65_536;

/** Share of the budget that large holders may use, unless the largest legal body needs more. */
const largeShare = 0.75;

/** A holder is evicted only after its progress was observed for this long; a lost packet is sent again within some 200 ms. */
const minObservedMs = 300;

/** Size of a budget, and the largest body that must fit into it. */
export type MemoryBudgetOpts = {
	readonly limitBytes: number;
	readonly largestBytes: number;
};

/** What is known of a holder when it starts. */
export type HolderOpts = {
	/** The time from which its progress counts. */
	readonly startMs: number;
	/** The length that it announced; undefined if it announced none. */
	readonly announcedBytes?: number | undefined;
	/** The time by which it must be complete. */
	readonly endMs?: number;
	/** Called when its bytes are needed for another holder. Without it, the holder is never evicted. */
	readonly evict?: () => void;
};

/** The bytes that one body, incomplete or complete, holds of a budget. */
export class MemoryHolder {
	readonly #budget: MemoryBudget;
	#opts: HolderOpts;
	#reservedBytes = 0;
	#receivedBytes = 0;
	#progressMs: number;
	#isEvictable: boolean;

	constructor(budget: MemoryBudget, opts: HolderOpts) {
		this.#budget = budget;
		this.#opts = opts;
		this.#progressMs = opts.startMs;
		this.#isEvictable = opts.evict !== undefined;
	}

	get reservedBytes(): number {
		return this.#reservedBytes;
	}

	get progressMs(): number {
		return this.#progressMs;
	}

	/** Reserves more bytes: all of them, or none and returns false. Holders that make no progress may be evicted for it. */
	acquire(bytes: number, nowMs: number): boolean {
		const isReserved = this.#budget.acquire(this, bytes, nowMs);
		if (isReserved) {
			this.#reservedBytes += bytes;
		}

		return isReserved;
	}

	/** Records that bytes arrived, or were read by the receiver of an answer. */
	recordProgress(bytes: number, nowMs: number): void {
		this.#receivedBytes += bytes;
		this.#progressMs = nowMs;
	}

	/** Protects the holder from eviction: its body is complete. */
	complete(): void {
		this.#isEvictable = false;
	}

	/** Allows the eviction of a complete holder again while its receiver reads it. */
	startDelivery(evict: () => void, nowMs: number): void {
		this.#opts = {startMs: nowMs, evict};
		this.#progressMs = nowMs;
		this.#isEvictable = true;
	}

	/** Whether its bytes can't all arrive in time at the rate at which they arrived so far. */
	isTooSlow(nowMs: number): boolean {
		const {startMs, announcedBytes, endMs} = this.#opts;
		if (!this.#isEvictable || announcedBytes === undefined || endMs === undefined || nowMs - startMs < minObservedMs) {
			return false;
		}

		return this.#receivedBytes * (endMs - startMs) < announcedBytes * (nowMs - startMs);
	}

	/** Whether no byte arrived for some time. */
	isStalled(nowMs: number): boolean {
		return this.#isEvictable && nowMs - this.#progressMs >= minObservedMs;
	}

	evict(): void {
		if (this.#isEvictable) {
			this.#isEvictable = false;
			this.#opts.evict?.();
		}
	}

	/** Releases all bytes. */
	close(): void {
		this.#isEvictable = false;
		this.#budget.release(this);
		this.#reservedBytes = 0;
	}
}

/**
 * Counts the bytes that a node holds for callers, other nodes and its server. Untrusted callers send many large bodies of legal size
 * at once, most of which stop short of their end. Large holders can't take the share of the small ones, so that such bodies
 * never keep ordinary requests out.
 */
export class MemoryBudget {
	readonly limitBytes: number;
	readonly #largeLimitBytes: number;
	readonly #holders = new Set<MemoryHolder>();
	#usedBytes = 0;
	#largeBytes = 0;
	#refusals = 0;
	#evictions = 0;

	constructor({limitBytes, largestBytes}: MemoryBudgetOpts) {
		this.limitBytes = limitBytes;
		this.#largeLimitBytes = Math.min(limitBytes, Math.max(largeShare * limitBytes, largestBytes));
	}

	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** Number of reservations that did not fit. */
	get refusals(): number {
		return this.#refusals;
	}

	/** Number of holders that were evicted. */
	get evictions(): number {
		return this.#evictions;
	}

	addHolder(opts: HolderOpts): MemoryHolder {
		return new MemoryHolder(this, opts);
	}

	/** Reserves bytes for a holder. Called by `MemoryHolder.acquire` only. */
	acquire(holder: MemoryHolder, bytes: number, nowMs: number): boolean {
		if (this.#countMissing(holder, bytes) > 0) {
			this.#evictFor(holder, bytes, nowMs);
		}

		if (this.#countMissing(holder, bytes) > 0) {
			this.#refusals++;
			return false;
		}

		const earlier = holder.reservedBytes;
		this.#usedBytes += bytes;
		if (earlier + bytes > maxSmallBytes) {
			this.#largeBytes += earlier > maxSmallBytes ? bytes : earlier + bytes;
		}

		this.#holders.add(holder);
		return true;
	}

	/** Releases the bytes of a holder. Called by `MemoryHolder.close` only. */
	release(holder: MemoryHolder): void {
		if (this.#holders.delete(holder)) {
			this.#usedBytes -= holder.reservedBytes;
			this.#largeBytes -= holder.reservedBytes > maxSmallBytes ? holder.reservedBytes : 0;
		}
	}

	/** How many bytes must be released before the reservation fits. */
	#countMissing(holder: MemoryHolder, bytes: number): number {
		const total = holder.reservedBytes + bytes;
		const missing = this.#usedBytes + bytes - this.limitBytes;
		if (total <= maxSmallBytes) {
			return missing;
		}

		const added = holder.reservedBytes > maxSmallBytes ? bytes : total;
		return Math.max(missing, this.#largeBytes + added - this.#largeLimitBytes);
	}

	/** Evicts first the holders that can't finish in time, then those without progress for longest; none if that is not enough. */
	#evictFor(holder: MemoryHolder, bytes: number, nowMs: number): void {
		const isLarge = holder.reservedBytes + bytes > maxSmallBytes;
		const candidates = [...this.#holders].filter(each => each !== holder && (!isLarge || each.reservedBytes > maxSmallBytes));
		const tooSlow = candidates.filter(each => each.isTooSlow(nowMs));
		const stalled = candidates.filter(each => !each.isTooSlow(nowMs) && each.isStalled(nowMs)).toSorted((a, b) => a.progressMs - b.progressMs);
		const victims: MemoryHolder[] = [];
		let missing = this.#countMissing(holder, bytes);
		for (const each of [...tooSlow, ...stalled]) {
			if (missing <= 0) {
				break;
			}

			victims.push(each);
			missing -= each.reservedBytes;
		}

		if (missing <= 0) {
			for (const victim of victims) {
				this.#evictions++;
				victim.evict();
			}
		}
	}
}
