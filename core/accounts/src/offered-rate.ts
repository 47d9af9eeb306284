import {cooldownMs} from './account-messages.js';
import {SlotCounter} from './slot-counter.js';

const msPerSecond = 1000;

/** Time constant of the average that shows a rise early. */
const smoothingMs = 1000;

/** Requests offered per second: the average of the latest window, or that of about a second if it is higher for certain. */
export class OfferedRate {
	readonly #window = new SlotCounter();
	#perS = 0;
	#updatedMs = Number.NEGATIVE_INFINITY;

	/** Records a request. */
	record(nowMs: number): void {
		this.#window.add(nowMs);
		this.#perS = this.#measure(nowMs) + (msPerSecond / smoothingMs);
		this.#updatedMs = Math.max(nowMs, this.#updatedMs);
	}

	/** Returns the rate; 0 without requests in the window. */
	read(nowMs: number): number {
		const count = this.#window.read(nowMs);
		const latestPerS = this.#measure(nowMs);
		// The standard deviation of the average is below the root of the rate.
		return count === 0 ? 0 : Math.max(count * msPerSecond / cooldownMs, latestPerS - Math.sqrt(latestPerS));
	}

	#measure(nowMs: number): number {
		return this.#perS === 0 ? 0 : this.#perS * Math.exp(-Math.max(0, nowMs - this.#updatedMs) / smoothingMs);
	}
}
