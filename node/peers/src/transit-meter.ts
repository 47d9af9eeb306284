/** For how long the quickest message is remembered, in milliseconds: clocks drift apart by some 0.1 ms a second at most, 3 ms in it. */
const windowMs = 30_000;

/**
 * Estimates how long messages of a connection were held up, without a common clock: the quickest one of late counts as
 * not held up at all. What is measured is the time above that, such as a stall of the link or of a process.
 */
export class TransitMeter {
	#windowEndMs = Number.NEGATIVE_INFINITY;
	#leastMs = Number.POSITIVE_INFINITY;
	#earlierLeastMs = Number.POSITIVE_INFINITY;

	/** Takes note of a message by the sender's clock when it was sent and ours when it came. Returns its delay in milliseconds. */
	measureDelay(sentMs: number, receivedMs: number): number {
		const differenceMs = receivedMs - sentMs;
		if (receivedMs >= this.#windowEndMs) {
			this.#earlierLeastMs = this.#leastMs;
			this.#leastMs = Number.POSITIVE_INFINITY;
			this.#windowEndMs = receivedMs + windowMs;
		}

		this.#leastMs = Math.min(this.#leastMs, differenceMs);
		return differenceMs - Math.min(this.#leastMs, this.#earlierLeastMs);
	}
}
