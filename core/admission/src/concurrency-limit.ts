import type {Timestamp} from '@buckthornpoint/clock/clock.js';

export type ConcurrencyLimitOpts = {
	/** Greatest number of concurrent requests of the backend server, an upper bound of the limit. */
	readonly slots: number;
	/** Limit for a backend server that has just started or appears cold. */
	readonly coldConcurrency: number;
};

const minResponsesPerInterval = 10;
const minColdGrowthIntervalMs = 100;
const minColdResponses = 20;
const coldResponsesPerSlot = 2;
const maxColdMs = 30_000;
const decreaseSlownessRatio = 2;
const coldSlownessRatio = 4;
const minSlowIntervals = 2;
/** Responses must be slow for at least this long before the backend server counts as cold: a single stall of its process delays all requests that are running then, and their slow responses arrive in one burst. */
const minSlowDurationMs = 100;
const minUtilization = 0.5;
const warmGrowthFactor = 0.1;
const decreaseFactor = 0.9;
const minDecreaseIntervalMs = 50;
const refusalFactor = 0.7;
const minRefusalIntervalMs = 100;
const minBaselineMs = 5;
const baselineFallWeight = 0.2;
const baselineRiseWeight = 0.02;

type Interval = {
	readonly responses: number;
	readonly totalLatencyMs: number;
	readonly maxRunning: number;
};

const emptyInterval: Interval = {responses: 0, totalLatencyMs: 0, maxRunning: 0};

/**
 * Adaptive limit of the concurrent requests to a backend server. It starts at the cold limit, grows after an interval of
 * responses that were not much slower than the baseline, falls on slower responses and on refusals, and returns to the
 * cold limit when responses become so slow that the backend server appears cold. Slowness is the mean latency of an
 * interval of responses divided by the baseline latency.
 */
export class ConcurrencyLimit {
	readonly #opts: ConcurrencyLimitOpts;
	#limit: number;
	#interval = emptyInterval;
	#slowIntervals = 0;
	#slowSinceMs = 0;
	#baselineMs: number | undefined;
	#meanLatencyMs = 0;
	#coldSinceMs: number;
	#isCold = true;
	#lastChangeMs: number;

	constructor(opts: ConcurrencyLimitOpts, now: Timestamp) {
		this.#opts = opts;
		this.#limit = Math.max(1, Math.min(opts.coldConcurrency, opts.slots));
		this.#coldSinceMs = now.monotonicMs;
		this.#lastChangeMs = now.monotonicMs;
	}

	/** Returns how many requests may run concurrently: from 1 to `slots`. */
	getLimit(): number {
		return Math.max(1, Math.floor(this.#limit));
	}

	/** Returns whether the limit is still rising from a cold start. */
	isCold(): boolean {
		return this.#isCold;
	}

	/** Returns the mean latency of the latest interval in milliseconds; 0 before the first response. */
	getMeanLatencyMs(): number {
		return this.#meanLatencyMs;
	}

	/** Records a successful response. `running` is the number of requests in progress when it arrived, including this one. */
	recordResponse(latencyMs: number, running: number, now: Timestamp): void {
		const {responses, totalLatencyMs, maxRunning} = this.#interval;
		this.#interval = {responses: responses + 1, totalLatencyMs: totalLatencyMs + latencyMs, maxRunning: Math.max(maxRunning, running)};
		if (this.#meanLatencyMs === 0) {
			this.#meanLatencyMs = latencyMs;
		}

		if (this.#interval.responses >= this.#countRequiredResponses()) {
			this.#closeInterval(now.monotonicMs);
		}
	}

	/** Records that the backend server refused a request or did not answer in time. */
	recordRefusal(now: Timestamp): void {
		if (now.monotonicMs - this.#lastChangeMs >= minRefusalIntervalMs) {
			this.#set(this.#limit * refusalFactor, now.monotonicMs);
		}
	}

	/** A cold backend server needs more responses before its limit grows. */
	#countRequiredResponses(): number {
		return this.#isCold
			? Math.max(minColdResponses, this.getLimit() * coldResponsesPerSlot)
			: Math.max(minResponsesPerInterval, this.getLimit());
	}

	#closeInterval(nowMs: number): void {
		const {responses, totalLatencyMs, maxRunning} = this.#interval;
		this.#interval = emptyInterval;
		this.#meanLatencyMs = totalLatencyMs / responses;
		const slowness = this.#meanLatencyMs / this.#refreshBaseline();
		this.#recordSlowness(slowness, nowMs);
		if (this.#slowIntervals >= minSlowIntervals && nowMs - this.#slowSinceMs >= minSlowDurationMs) {
			this.#setCold(nowMs);
			return;
		}

		if (slowness > decreaseSlownessRatio) {
			this.#reduce(nowMs);
			return;
		}

		if (maxRunning >= this.#limit * minUtilization && this.#mayGrow(nowMs)) {
			this.#set(this.#limit + (this.#isCold ? 1 : Math.max(1, this.#limit * warmGrowthFactor)), nowMs);
		}

		this.#isCold &&= this.#limit < this.#opts.slots && nowMs - this.#coldSinceMs < maxColdMs;
	}

	#recordSlowness(slowness: number, nowMs: number): void {
		const isSlow = slowness > coldSlownessRatio;
		this.#slowSinceMs = isSlow && this.#slowIntervals > 0 ? this.#slowSinceMs : nowMs;
		this.#slowIntervals = isSlow ? this.#slowIntervals + 1 : 0;
	}

	#reduce(nowMs: number): void {
		if (nowMs - this.#lastChangeMs >= minDecreaseIntervalMs) {
			this.#set(this.#limit * decreaseFactor, nowMs);
		}
	}

	/** Updates and returns the baseline latency, which follows faster responses quickly and slower ones slowly. */
	#refreshBaseline(): number {
		const baselineMs = this.#baselineMs ?? this.#meanLatencyMs;
		const weight = this.#meanLatencyMs < baselineMs ? baselineFallWeight : baselineRiseWeight;
		this.#baselineMs = baselineMs + ((this.#meanLatencyMs - baselineMs) * weight);
		return Math.max(this.#baselineMs, minBaselineMs);
	}

	#mayGrow(nowMs: number): boolean {
		return !this.#isCold || nowMs - this.#lastChangeMs >= minColdGrowthIntervalMs;
	}

	#setCold(nowMs: number): void {
		this.#slowIntervals = 0;
		this.#isCold = true;
		this.#coldSinceMs = nowMs;
		this.#set(Math.min(this.#limit, this.#opts.coldConcurrency), nowMs);
	}

	#set(limit: number, nowMs: number): void {
		this.#limit = Math.max(1, Math.min(limit, this.#opts.slots));
		this.#lastChangeMs = nowMs;
	}
}
