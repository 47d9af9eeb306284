/** Number of answers averaged: some seconds of traffic, longer than the phases in which other workloads on the machine slow it down. */
const averagedAnswers = 400;

/** Assumed until the first measurement. */
const initialMs = 50;

/**
 * Mean execution time of requests at a backend server over several seconds. Moves of keys are based on it: a measurement
 * over a fraction of a second mostly shows what else ran on the machine at that time.
 */
export class MeanServiceTime {
	#meanMs = initialMs;
	#count = 0;

	/** Records the execution time of a request. */
	record(tookMs: number): void {
		this.#count = Math.min(this.#count + 1, averagedAnswers);
		this.#meanMs += (tookMs - this.#meanMs) / this.#count;
	}

	/** Number of answers that the mean covers. */
	get count(): number {
		return this.#count;
	}

	readMs(): number {
		return this.#meanMs;
	}
}
