/** An entry of a ranked queue. */
export type RankedEntry = {
	/** Entries of rank 0 come first. May change only while the entry is in no queue. */
	rank: number;
	/** Expected service time. */
	readonly serviceMs: number;
	/** Set when the entry is removed; the queue discards it once it reaches the front. */
	isRemoved: boolean;
};

/** Queue ordered by rank, and by arrival within a rank. */
export class RankedQueue<Entry extends RankedEntry> {
	readonly #entriesByRank: Array<Entry[] | undefined> = [];
	/** Total expected service time of the entries of each rank. */
	readonly #serviceMsByRank: number[] = [];
	#size = 0;

	get size(): number {
		return this.#size;
	}

	add(entry: Entry): void {
		(this.#entriesByRank[entry.rank] ??= []).push(entry);
		this.#serviceMsByRank[entry.rank] = (this.#serviceMsByRank[entry.rank] ?? 0) + entry.serviceMs;
		this.#size++;
	}

	/** Removes an entry at any position. */
	remove(entry: Entry): void {
		if (!entry.isRemoved) {
			entry.isRemoved = true;
			this.#recordRemoved(entry);
		}
	}

	/** Returns the next entry without removing it. */
	peek(): Entry | undefined {
		for (const entries of this.#entriesByRank) {
			while (entries?.[0]?.isRemoved === true) {
				entries.shift();
			}

			if (entries?.[0] !== undefined) {
				return entries[0];
			}
		}

		return undefined;
	}

	/** Returns the first entry that matches a predicate without removing it. */
	peekWhere(isMatch: (entry: Entry) => boolean): Entry | undefined {
		for (const entries of this.#entriesByRank) {
			const found = entries?.find(entry => !entry.isRemoved && isMatch(entry));
			if (found !== undefined) {
				return found;
			}
		}

		return undefined;
	}

	/** Counts the entries that match a predicate. */
	countWhere(isMatch: (entry: Entry) => boolean): number {
		return this.#entriesByRank.reduce((sum, entries) => sum + (entries?.filter(entry => !entry.isRemoved && isMatch(entry)).length ?? 0), 0);
	}

	/** Removes and returns the next entry. */
	pick(): Entry | undefined {
		const first = this.peek();
		if (first !== undefined) {
			this.#entriesByRank[first.rank]!.shift();
			this.#recordRemoved(first);
		}

		return first;
	}

	/** Removes and returns all entries that match a predicate. */
	pickWhere(isMatch: (entry: Entry) => boolean): readonly Entry[] {
		const entries = this.#entriesByRank.flatMap(each => each ?? []).filter(entry => !entry.isRemoved && isMatch(entry));
		for (const entry of entries) {
			this.remove(entry);
		}

		return entries;
	}

	/** Measures the number and the total expected service time of the entries up to a rank. */
	measureUpTo(rank: number): {readonly count: number; readonly totalServiceMs: number} {
		let count = 0;
		let totalServiceMs = 0;
		for (let each = 0; each < this.#entriesByRank.length && each <= rank; each++) {
			count += this.#entriesByRank[each]?.length ?? 0;
			totalServiceMs += this.#serviceMsByRank[each] ?? 0;
		}

		return {count, totalServiceMs};
	}

	#recordRemoved({rank, serviceMs}: Entry): void {
		this.#size--;
		this.#serviceMsByRank[rank] = Math.max(0, (this.#serviceMsByRank[rank] ?? 0) - serviceMs);
	}
}
