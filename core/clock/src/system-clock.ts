import {performance} from 'node:perf_hooks';
import {Clock, type Timestamp, type Timer} from './clock.js';

/** Longest delay of a timer of the runtime, which fires a longer one at once. */
const maxTimerDelayMs = (2 ** 31) - 1;

/** Clock of the operating system. Constructed only by the executables and their benchmarks. */
export class SystemClock extends Clock {
	override readTimestamp(): Timestamp {
		return {monotonicMs: performance.now(), wallMs: Date.now()};
	}

	override startTimer(delayMs: number, callback: () => void): Timer {
		const handle = setTimeout(callback, Math.min(Math.max(0, delayMs), maxTimerDelayMs));
		return {
			close() {
				clearTimeout(handle);
			},
		};
	}
}
