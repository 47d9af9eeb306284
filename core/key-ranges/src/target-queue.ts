/** Priority queue of candidates for assignment: lowest rank first, and among equals the one that has waited longest. */
export class TargetQueue<Target> {
	/** Binary heap: no entry sorts before its parent. */
	readonly #heap: Array<{readonly target: Target; readonly rank: number; readonly insertion: number}> = [];
	readonly #getRank: (target: Target) => number;
	#insertions = 0;

	constructor(targets: readonly Target[], getRank: (target: Target) => number) {
		this.#getRank = getRank;
		for (const target of targets) {
			this.#add(target);
		}
	}

	/** Calls `recordAssignment` with the next candidate, which may change its rank, then ranks it again and returns it. */
	assign(recordAssignment: (target: Target) => void): Target | undefined {
		const first = this.#heap[0];
		if (first === undefined) {
			return undefined;
		}

		recordAssignment(first.target);
		const last = this.#heap.pop()!;
		if (this.#heap.length > 0) {
			this.#heap[0] = last;
			this.#moveDown();
		}

		this.#add(first.target);
		return first.target;
	}

	#add(target: Target): void {
		this.#heap.push({target, rank: this.#getRank(target), insertion: this.#insertions++});
		for (let index = this.#heap.length - 1; index > 0;) {
			const parent = (index - 1) >> 1; // eslint-disable-line no-bitwise
			if (!this.#isBefore(index, parent)) {
				return;
			}

			this.#exchange(index, parent);
			index = parent;
		}
	}

	#moveDown(): void {
		for (let index = 0; ;) {
			let lowest = index;
			for (const child of [(2 * index) + 1, (2 * index) + 2]) {
				if (child < this.#heap.length && this.#isBefore(child, lowest)) {
					lowest = child;
				}
			}

			if (lowest === index) {
				return;
			}

			this.#exchange(index, lowest);
			index = lowest;
		}
	}

	#isBefore(index: number, other: number): boolean {
		const left = this.#heap[index]!;
		const right = this.#heap[other]!;
		return left.rank === right.rank ? left.insertion < right.insertion : left.rank < right.rank;
	}

	#exchange(index: number, other: number): void {
		[this.#heap[index], this.#heap[other]] = [this.#heap[other]!, this.#heap[index]!];
	}
}
