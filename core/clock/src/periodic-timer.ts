import type {Clock, Timer} from './clock.js';

/** A timer that is late by more than this is lost. */
const lostTimerMs = 1000;

/** Calls a function at an interval until it is closed. An error that one call throws does not prevent the next one. */
export class PeriodicTimer {
	readonly #clock: Clock;
	readonly #intervalMs: number;
	readonly #callback: () => void;
	#timer: Timer;
	#startMs = 0;
	#isClosed = false;

	constructor(clock: Clock, intervalMs: number, callback: () => void) {
		this.#clock = clock;
		this.#intervalMs = intervalMs;
		this.#callback = callback;
		this.#timer = this.#startNext();
	}

	/** Starts an interval again if the call at its end is long overdue, as its timer was lost. */
	refresh(): void {
		if (!this.#isClosed && this.#clock.readTimestamp().monotonicMs - this.#startMs > this.#intervalMs + lostTimerMs) {
			this.#timer.close();
			this.#timer = this.#startNext();
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#timer.close();
	}

	#startNext(): Timer {
		this.#startMs = this.#clock.readTimestamp().monotonicMs;
		return this.#clock.startTimer(this.#intervalMs, () => {
			this.#timer = this.#startNext();
			this.#callback();
		});
	}
}
