const windowSize = 256;
const samplesPerRefresh = 16;
const maxMedianMultiple = 4;
const minHedgeDelayMs = 5;

/** From which latencies the hedging delay is derived. */
export type LatencyWindowOpts = {
	/** Share of the requests that are faster than the delay, such as 0.9. */
	readonly percentile: number;
	/** Latencies that must be recorded before a delay is derived. */
	readonly minSamples: number;
};

const defaultLatencyWindowOpts: LatencyWindowOpts = {percentile: 0.9, minSamples: samplesPerRefresh};

/** The latest latencies of a service or a route, from which the hedging delay is derived. */
export class LatencyWindow {
	readonly #opts: LatencyWindowOpts;
	readonly #samples: number[] = [];
	#nextIndex = 0;
	#samplesSinceRefresh = 0;
	#hedgeDelayMs: number | undefined;
	#medianMs: number | undefined;

	constructor(opts: LatencyWindowOpts = defaultLatencyWindowOpts) {
		this.#opts = opts;
	}

	/** Records how long a caller waited for an answer. */
	record(latencyMs: number): void {
		this.#samples[this.#nextIndex] = latencyMs;
		this.#nextIndex = (this.#nextIndex + 1) % windowSize;
		this.#samplesSinceRefresh++;
		if (this.#samplesSinceRefresh >= samplesPerRefresh && this.#samples.length >= this.#opts.minSamples) {
			this.#samplesSinceRefresh = 0;
			this.#refresh();
		}
	}

	/** Returns after how many milliseconds an unanswered request is hedged; undefined until enough latencies are recorded. */
	estimateHedgeDelay(): number | undefined {
		return this.#hedgeDelayMs;
	}

	/** Returns the median; undefined until enough latencies are recorded. */
	estimateMedian(): number | undefined {
		return this.#medianMs;
	}

	/** The delay is a high percentile, limited to a multiple of the median so that one slow backend server does not raise it. */
	#refresh(): void {
		const sorted = this.#samples.toSorted((left, right) => left - right);
		const high = sorted[Math.floor(sorted.length * this.#opts.percentile)] ?? 0;
		const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
		this.#medianMs = median;
		this.#hedgeDelayMs = Math.max(minHedgeDelayMs, Math.min(high, median * maxMedianMultiple));
	}
}
