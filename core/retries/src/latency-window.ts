const windowSize = 256;
const samplesPerRefresh = 16;
const hedgePercentile = 0.9;
const maxMedians = 4;
const minHedgeDelayMs = 5;

/** The latest latencies of a service, from which the delay of a hedge is derived. */
export class LatencyWindow {
	readonly #samples: number[] = [];
	#next = 0;
	#sinceRefresh = 0;
	#hedgeDelayMs: number | undefined;

	/** Adds the time that a caller waited for an answer, in milliseconds. */
	record(latencyMs: number): void {
		this.#samples[this.#next] = latencyMs;
		this.#next = (this.#next + 1) % windowSize;
		this.#sinceRefresh++;
		if (this.#sinceRefresh >= samplesPerRefresh) {
			this.#sinceRefresh = 0;
			this.#hedgeDelayMs = deriveHedgeDelay(this.#samples);
		}
	}

	/** Returns after which time an unanswered request is hedged, in milliseconds; undefined while too little is known. */
	estimateHedgeDelay(): number | undefined {
		return this.#hedgeDelayMs;
	}
}

/** A high percentile, but no more than some medians: a slow backend server that many use must not push it up. */
function deriveHedgeDelay(samples: readonly number[]): number {
	const sorted = samples.toSorted((left, right) => left - right);
	const high = sorted[Math.floor(sorted.length * hedgePercentile)] ?? 0;
	const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
	return Math.max(minHedgeDelayMs, Math.min(high, median * maxMedians));
}
