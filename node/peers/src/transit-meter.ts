/** The fastest message is remembered for one to two windows. Clocks drift apart by at most some 0.1 ms per second, 3 ms per window. */
const windowMs = 30_000;

/**
 * Estimates the delay of the messages of a connection without synchronized clocks. The fastest recent message counts as not
 * delayed; the excess over its transit time is the delay, for example a stall of the network or of a process.
 */
export class TransitMeter {
	#windowEndMs = Number.NEGATIVE_INFINITY;
	#minDifferenceMs = Number.POSITIVE_INFINITY;
	#previousMinDifferenceMs = Number.POSITIVE_INFINITY;

	/** Records a message, sent at `sentMs` on the sender's clock and received at `receivedMs` on the local one. Returns its delay. */
	measureDelay(sentMs: number, receivedMs: number): number {
		const differenceMs = receivedMs - sentMs;
		if (receivedMs >= this.#windowEndMs) {
			this.#previousMinDifferenceMs = this.#minDifferenceMs;
			this.#minDifferenceMs = Number.POSITIVE_INFINITY;
			this.#windowEndMs = receivedMs + windowMs;
		}

		this.#minDifferenceMs = Math.min(this.#minDifferenceMs, differenceMs);
		return differenceMs - Math.min(this.#minDifferenceMs, this.#previousMinDifferenceMs);
	}
}
