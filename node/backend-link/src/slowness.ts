/** A reported value is valid for this long: contention from other workloads on the machine comes and goes within some 400 ms. */
const validityMs = 250;

/** Weight of the newest value in the mean. */
const newestValueWeight = 0.05;

/** Present slowness of a backend server's machine relative to its mean, from the values that the server reports with its answers. */
export class Slowness {
	#latest = 1;
	#latestReceivedMs = Number.NEGATIVE_INFINITY;
	#mean = 1;

	/** Records a reported value: 1 means the usual execution time, 3 three times as long. */
	record(value: number, nowMs: number): void {
		this.#latest = value;
		this.#latestReceivedMs = nowMs;
		this.#mean += (value - this.#mean) * newestValueWeight;
	}

	/** Returns the present execution time as a multiple of the mean; 1 if no recent value exists. */
	readFactor(nowMs: number): number {
		return nowMs - this.#latestReceivedMs > validityMs || this.#mean <= 0 ? 1 : this.#latest / this.#mean;
	}
}
