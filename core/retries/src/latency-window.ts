const windowSize = 256;
const samplesPerRefresh = 16;
const hedgePercentile = 0.9;
const maxMedianMultiple = 4;
const minHedgeDelayMs = 5;

/** The latest latencies of a service, from which the hedging delay is derived. */
export class LatencyWindow {
	readonly #samples: number[] = [];
	#nextIndex = 0;
	#samplesSinceRefresh = 0;
	#hedgeDelayMs: number | undefined;

	/** Records how long a caller waited for an answer. */
	record(latencyMs: number): void {
		this.#samples[this.#nextIndex] = latencyMs;
		this.#nextIndex = (this.#nextIndex + 1) % windowSize;
		this.#samplesSinceRefresh++;
		if (this.#samplesSinceRefresh >= samplesPerRefresh) {
			this.#samplesSinceRefresh = 0;
			this.#hedgeDelayMs = deriveHedgeDelay(this.#samples);
		}
	}

	/** Returns after how many milliseconds an unanswered request is hedged; undefined until enough latencies are recorded. */
	estimateHedgeDelay(): number | undefined {
		return this.#hedgeDelayMs;
	}
}

/**
 * Returns a high percentile, limited to a multiple of the median so that one slow backend server does not raise the
 * delay.
 */
function deriveHedgeDelay(samples: readonly number[]): number {
	const sorted = samples.toSorted((left, right) => left - right);
	const high = sorted[Math.floor(sorted.length * hedgePercentile)] ?? 0;
	const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
	return Math.max(minHedgeDelayMs, Math.min(high, median * maxMedianMultiple));
}
