/** Length of the observed time of a `RollingSum`, and of its parts. */
export type RollingSumOpts = {
	readonly bucketMs: number;
	readonly buckets: number;
};

/** Sum of what was recorded in the latest time. The time is divided into buckets; the oldest one is dropped as a whole. */
export class RollingSum {
	readonly #opts: RollingSumOpts;
	readonly #sums: number[];
	#currentBucket = Number.NEGATIVE_INFINITY;
	#sum = 0;

	constructor(opts: RollingSumOpts) {
		this.#opts = opts;
		this.#sums = Array.from({length: opts.buckets}, () => 0);
	}

	add(nowMs: number): void {
		this.#advance(nowMs);
		this.#sums[this.#currentBucket % this.#sums.length]!++;
		this.#sum++;
	}

	read(nowMs: number): number {
		this.#advance(nowMs);
		return this.#sum;
	}

	#advance(nowMs: number): void {
		const bucket = Math.floor(nowMs / this.#opts.bucketMs);
		const first = Math.max(0, this.#currentBucket + 1, bucket - this.#sums.length + 1);
		for (let cleared = first; cleared <= bucket; cleared++) {
			const index = cleared % this.#sums.length;
			this.#sum -= this.#sums[index]!;
			this.#sums[index] = 0;
		}

		this.#currentBucket = Math.max(this.#currentBucket, bucket);
	}
}
