import {cpuUsage} from 'node:process';
import {getHeapStatistics} from 'node:v8';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {PeriodicTimer} from '@buckthornpoint/clock/periodic-timer.js';

/** What the process did in an interval at whose end its timer was late. */
export type Stall = {
	/** How late the timer was. */
	readonly lateMs: number;
	/** Processor time that the process used since the timer before. Far less than `sinceMs` shows that it did not get the processor. */
	readonly processorMs: number;
	readonly sinceMs: number;
	/** Used share of the heap's limit. Near 1, garbage collection takes most of the time. */
	readonly heapShare: number;
};

/** Dependencies of a `StallWatch`. */
export type StallWatchOpts = {
	readonly clock: Clock;
	/** Called after the process did not run in time, or handled events of one turn for as long. */
	readonly onStall: (stall: Stall) => void;
};

const intervalMs = 250;

/** A third of the half second by which an answer may be late. */
const minReportedMs = 150;

const microsecondsPerMs = 1000;

/** Reports times in which the process handled nothing, or too much at once: new connections, readiness checks and answers that were due waited. */
export class StallWatch {
	readonly #opts: StallWatchOpts;
	readonly #timer: PeriodicTimer;
	#lastMs: number;
	#lastProcessorMs: number;

	constructor(opts: StallWatchOpts) {
		this.#opts = opts;
		this.#lastMs = this.#readNowMs();
		this.#lastProcessorMs = readProcessorMs();
		this.#timer = new PeriodicTimer(opts.clock, intervalMs, () => {
			this.#check();
		});
	}

	close(): void {
		this.#timer.close();
	}

	#check(): void {
		const sinceMs = this.#readNowMs() - this.#lastMs;
		const usedMs = readProcessorMs();
		const processorMs = usedMs - this.#lastProcessorMs;
		this.#lastMs += sinceMs;
		this.#lastProcessorMs = usedMs;
		if (sinceMs - intervalMs >= minReportedMs) {
			const {used_heap_size: heapBytes, heap_size_limit: limitBytes} = getHeapStatistics();
			this.#opts.onStall({
				lateMs: Math.round(sinceMs - intervalMs), processorMs: Math.round(processorMs), sinceMs: Math.round(sinceMs), heapShare: Math.round(100 * heapBytes / limitBytes) / 100,
			});
		}
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}

function readProcessorMs(): number {
	const {user, system} = cpuUsage();
	return (user + system) / microsecondsPerMs;
}
