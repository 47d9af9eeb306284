import {slotCount, slotMs} from './account-messages.js';

/** Counts events of the latest window, in slots. An event counts until its whole slot has left the window. */
export class SlotCounter {
	readonly #counts = Array.from({length: slotCount}, () => 0);
	#slot = Number.NEGATIVE_INFINITY;
	#sum = 0;

	/** Returns the number of events in the window. */
	read(nowMs: number): number {
		this.#advance(nowMs);
		return this.#sum;
	}

	add(nowMs: number): void {
		this.#advance(nowMs);
		this.#counts[getIndex(this.#slot)]!++;
		this.#sum++;
	}

	/** Removes the latest event, if there is one. */
	remove(): void {
		for (let slot = this.#slot; this.#sum > 0 && slot > this.#slot - slotCount; slot--) {
			if (this.#counts[getIndex(slot)]! > 0) {
				this.#counts[getIndex(slot)]!--;
				this.#sum--;
				return;
			}
		}
	}

	/** Returns the time until at most `count` events are left in the window. */
	measureWaitMs(count: number, nowMs: number): number {
		this.#advance(nowMs);
		let left = this.#sum;
		for (let slot = this.#slot - slotCount + 1; slot <= this.#slot; slot++) {
			if (left <= count) {
				return Math.max(0, ((slot - 1 + slotCount) * slotMs) - nowMs);
			}

			left -= this.#counts[getIndex(slot)]!;
		}

		return Math.max(0, ((this.#slot + slotCount) * slotMs) - nowMs);
	}

	#advance(nowMs: number): void {
		const slot = Math.floor(nowMs / slotMs);
		if (slot <= this.#slot) {
			return;
		}

		for (let cleared = Math.max(this.#slot + 1, slot - slotCount + 1); cleared <= slot; cleared++) {
			this.#sum -= this.#counts[getIndex(cleared)]!;
			this.#counts[getIndex(cleared)] = 0;
		}

		this.#slot = slot;
	}
}

/** The clock may start below 0 slots before the present one. */
function getIndex(slot: number): number {
	return ((slot % slotCount) + slotCount) % slotCount;
}
