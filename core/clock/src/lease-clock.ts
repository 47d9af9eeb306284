import type {Clock, Timestamp} from './clock.js';

/**
 * Clock for the expiry of leases and grants that this process holds. It advances by the larger advance of the two clocks of
 * the machine, so that time during which the VM was suspended counts. It must not be used to wait for the expiry of a lease
 * that another process holds, because it may run ahead of real time.
 */
export class LeaseClock {
	readonly #clock: Clock;
	#lastTimestamp: Timestamp;
	#nowMs = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#lastTimestamp = clock.readTimestamp();
	}

	/** Returns the milliseconds since the clock was created. Never decreases. */
	readNowMs(): number {
		const timestamp = this.#clock.readTimestamp();
		this.#nowMs += Math.max(0, timestamp.monotonicMs - this.#lastTimestamp.monotonicMs, timestamp.wallMs - this.#lastTimestamp.wallMs);
		this.#lastTimestamp = timestamp;
		return this.#nowMs;
	}
}
