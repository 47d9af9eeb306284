import {build, type Histogram} from 'hdr-histogram-js';
import type {CallResult} from './call.js';

const microsecondsPerMs = 1000;
const highestMicroseconds = 120_000_000;

/** Percentiles of the latency of the answers, in milliseconds. */
export type Percentiles = {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly max: number;
};

/** Counts the outcomes of the calls of a load and records their latencies. */
export class Tally {
	readonly #histogram: Histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: 3});
	readonly #failures = new Map<string, number>();
	#calls = 0;
	#answers = 0;
	#attempts = 0;
	#mismatches = 0;

	get calls(): number {
		return this.#calls;
	}

	get answers(): number {
		return this.#answers;
	}

	get attempts(): number {
		return this.#attempts;
	}

	/** Answers that differed from the expected answer to their call. */
	get mismatches(): number {
		return this.#mismatches;
	}

	/** Failures by outcome and reason, such as `not-run (overloaded)`. */
	get failures(): ReadonlyMap<string, number> {
		return this.#failures;
	}

	/** Records a result; `delayMs` is how much later than planned the call was sent, and counts as latency. */
	record(result: CallResult, delayMs = 0): void {
		this.#calls++;
		this.#attempts += result.attempts;
		this.#mismatches += result.matchesCall ? 0 : 1;
		if (result.kind === 'answer') {
			this.#answers++;
			this.#histogram.recordValue(Math.min(highestMicroseconds, Math.max(1, Math.round((result.latencyMs + delayMs) * microsecondsPerMs))));
		} else {
			const name = `${result.kind} (${result.reason})`;
			this.#failures.set(name, (this.#failures.get(name) ?? 0) + 1);
		}
	}

	/** Returns the latency percentiles of the answers so far. */
	measurePercentiles(): Percentiles {
		const read = (percentile: number): number => this.#histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
		return {
			p50: read(50), p99: read(99), p999: read(99.9), max: this.#histogram.maxValue / microsecondsPerMs,
		};
	}
}
