import type {Clock, Timer} from './clock.js';

/** Calls a function at an interval until it is closed. An error that one call throws does not prevent the next one. */
export class PeriodicTimer {
	readonly #clock: Clock;
	readonly #intervalMs: number;
	readonly #callback: () => void;
	#timer: Timer;

	constructor(clock: Clock, intervalMs: number, callback: () => void) {
		this.#clock = clock;
		this.#intervalMs = intervalMs;
		this.#callback = callback;
		this.#timer = this.#startNext();
	}

	close(): void {
		this.#timer.close();
	}

	#startNext(): Timer {
		return this.#clock.startTimer(this.#intervalMs, () => {
			this.#timer = this.#startNext();
			this.#callback();
		});
	}
}
