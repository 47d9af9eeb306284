/** A figure older than this, in milliseconds, says nothing of now: neighbours on the machine come and go within some 400 ms. */
const freshMs = 250;

/** Weight of the newest figure in the mean. */
const meanWeight = 0.05;

/** How slow the machine of a backend server is at the moment, against its usual state, from what its answers say. */
export class Slowness {
	#latest = 1;
	#latestMs = Number.NEGATIVE_INFINITY;
	#mean = 1;

	/** Takes note of a figure: 1 is as usual, 3 is three times as long. */
	note(figure: number, nowMs: number): void {
		this.#latest = figure;
		this.#latestMs = nowMs;
		this.#mean += (figure - this.#mean) * meanWeight;
	}

	/** Returns how much longer than on average work takes now; 1 where nothing fresh is known. */
	readFactor(nowMs: number): number {
		return nowMs - this.#latestMs > freshMs || this.#mean <= 0 ? 1 : this.#latest / this.#mean;
	}
}
