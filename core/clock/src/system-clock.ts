import {performance} from 'node:perf_hooks';
import {Clock, type Moment, type Timer} from './clock.js';

/** The clock of the machine. Only the binaries and their benchmarks construct it. */
export class SystemClock extends Clock {
	override readMoment(): Moment {
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
