import type {Clock, Moment} from './clock.js';

/**
 * A clock for rights that lapse: it advances by the larger advance of the two clocks of the machine, so that time
 * during which a VM was suspended counts. Never use it to wait until another's right has lapsed.
 */
export class LapseClock {
	readonly #clock: Clock;
	#last: Moment;
	#nowMs = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#last = clock.readMoment();
	}

	/** Returns milliseconds since the clock was made. Never decreases. */
	readNowMs(): number {
		const moment = this.#clock.readMoment();
		this.#nowMs += Math.max(0, moment.monotonicMs - this.#last.monotonicMs, moment.wallMs - this.#last.wallMs);
		this.#last = moment;
		return this.#nowMs;
	}
}
