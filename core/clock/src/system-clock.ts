import {performance} from 'node:perf_hooks';
import {Clock, type Timestamp, type Timer} from './clock.js';

/** Clock of the operating system. Constructed only by the executables and their benchmarks. */
export class SystemClock extends Clock {
	override readTimestamp(): Timestamp {
		return {monotonicMs: performance.now(), wallMs: Date.now()};
	}

	override startTimer(delayMs: number, callback: () => void): Timer {
		const handle = setTimeout(callback, Math.max(0, delayMs));
		return {
			close() {
				clearTimeout(handle);
			},
		};
	}
}
