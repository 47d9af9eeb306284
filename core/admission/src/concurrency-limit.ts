import type {Moment} from '@buckthornpoint/clock/clock.js';

/** Bounds of a limit. */
export type ConcurrencyLimitOpts = {
	/** The most requests that the backend server works on at once. The limit never passes it. */
	readonly slots: number;
	/** The limit of a backend server that has just started or looks cold. */
	readonly coldConcurrency: number;
};

const minAnswersPerInterval = 10;
const minColdStepMs = 100;
const minColdAnswers = 20;
const coldIntervalLimits = 2;
const maxColdMs = 30_000;
const slowTolerance = 2;
const coldTolerance = 4;
const coldIntervals = 2;
/** One stall of a process makes all requests that run at the time slow, in one burst of answers. */
const minSlowMs = 100;
const usedShare = 0.5;
const warmGrowthShare = 0.1;
const decreaseFactor = 0.9;
const minDecreaseMs = 50;
const refusalFactor = 0.7;
const minRefusalStepMs = 100;
const minBaselineMs = 5;
const fasterShare = 0.2;
const slowerShare = 0.02;

type Interval = {
	readonly answers: number;
	readonly totalLatencyMs: number;
	readonly maxRunning: number;
};

const emptyInterval: Interval = {answers: 0, totalLatencyMs: 0, maxRunning: 0};

/**
 * How many requests a backend server gets at once. It starts small, grows by one after an interval of answers that were
 * not much slower than usual, falls on slower answers and on refusals, and goes back to its start when answers
 * become so much slower that the backend server looks cold.
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
	#changedAtMs: number;

	constructor(opts: ConcurrencyLimitOpts, now: Moment) {
		this.#opts = opts;
		this.#limit = Math.max(1, Math.min(opts.coldConcurrency, opts.slots));
		this.#coldSinceMs = now.monotonicMs;
		this.#changedAtMs = now.monotonicMs;
	}

	/** Returns how many requests may run at once: from 1 to the slots. */
	getLimit(): number {
		return Math.max(1, Math.floor(this.#limit));
	}

	/** Tells whether the limit still rises from a cold start. */
	isCold(): boolean {
		return this.#isCold;
	}

	/** Returns the mean time of the latest interval with answers, in milliseconds; 0 before the first. */
	measureLatency(): number {
		return this.#meanLatencyMs;
	}

	/** Takes note of a good answer. `running` counts the requests that ran when it came, this one included. */
	noteAnswer(latencyMs: number, running: number, now: Moment): void {
		const {answers, totalLatencyMs, maxRunning} = this.#interval;
		this.#interval = {answers: answers + 1, totalLatencyMs: totalLatencyMs + latencyMs, maxRunning: Math.max(maxRunning, running)};
		if (this.#meanLatencyMs === 0) {
			this.#meanLatencyMs = latencyMs;
		}

		if (this.#interval.answers >= this.#countNeededAnswers()) {
			this.#closeInterval(now.monotonicMs);
		}
	}

	/** Takes note that the backend server refused a request, or did not answer one in time. */
	noteRefusal(now: Moment): void {
		if (now.monotonicMs - this.#changedAtMs >= minRefusalStepMs) {
			this.#set(this.#limit * refusalFactor, now.monotonicMs);
		}
	}

	/** A cold backend server has to show more before it gets more. */
	#countNeededAnswers(): number {
		return this.#isCold
			? Math.max(minColdAnswers, this.getLimit() * coldIntervalLimits)
			: Math.max(minAnswersPerInterval, this.getLimit());
	}

	#closeInterval(nowMs: number): void {
		const {answers, totalLatencyMs, maxRunning} = this.#interval;
		this.#interval = emptyInterval;
		this.#meanLatencyMs = totalLatencyMs / answers;
		const slowness = this.#meanLatencyMs / this.#refreshBaseline();
		this.#noteSlowness(slowness, nowMs);
		if (this.#slowIntervals >= coldIntervals && nowMs - this.#slowSinceMs >= minSlowMs) {
			this.#setCold(nowMs);
			return;
		}

		if (slowness > slowTolerance) {
			this.#reduce(nowMs);
			return;
		}

		if (maxRunning >= this.#limit * usedShare && this.#mayGrow(nowMs)) {
			this.#set(this.#limit + (this.#isCold ? 1 : Math.max(1, this.#limit * warmGrowthShare)), nowMs);
		}

		this.#isCold &&= this.#limit < this.#opts.slots && nowMs - this.#coldSinceMs < maxColdMs;
	}

	#noteSlowness(slowness: number, nowMs: number): void {
		const isSlow = slowness > coldTolerance;
		this.#slowSinceMs = isSlow && this.#slowIntervals > 0 ? this.#slowSinceMs : nowMs;
		this.#slowIntervals = isSlow ? this.#slowIntervals + 1 : 0;
	}

	#reduce(nowMs: number): void {
		if (nowMs - this.#changedAtMs >= minDecreaseMs) {
			this.#set(this.#limit * decreaseFactor, nowMs);
		}
	}

	/** The usual latency follows faster answers soon and slower ones late. */
	#refreshBaseline(): number {
		const known = this.#baselineMs ?? this.#meanLatencyMs;
		const share = this.#meanLatencyMs < known ? fasterShare : slowerShare;
		this.#baselineMs = known + ((this.#meanLatencyMs - known) * share);
		return Math.max(this.#baselineMs, minBaselineMs);
	}

	#mayGrow(nowMs: number): boolean {
		return !this.#isCold || nowMs - this.#changedAtMs >= minColdStepMs;
	}

	#setCold(nowMs: number): void {
		this.#slowIntervals = 0;
		this.#isCold = true;
		this.#coldSinceMs = nowMs;
		this.#set(Math.min(this.#limit, this.#opts.coldConcurrency), nowMs);
	}

	#set(limit: number, nowMs: number): void {
		this.#limit = Math.max(1, Math.min(limit, this.#opts.slots));
		this.#changedAtMs = nowMs;
	}
}
