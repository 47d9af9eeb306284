type QueuedEvent = {
	readonly atMs: number;
	readonly run: () => void;
};

/**
 * Event queue in virtual time. Events run in the order of their times; events of the same time run in the order in
 * which they were added.
 */
export class EventQueue {
	nowMs = 0;
	/** Ordered by time, latest first. */
	readonly #events: QueuedEvent[] = [];

	/** Schedules a function to run after a delay. */
	addEvent(delayMs: number, run: () => void): void {
		const atMs = this.nowMs + Math.max(0, delayMs);
		let low = 0;
		let high = this.#events.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#events[middle]!.atMs > atMs) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#events.splice(low, 0, {atMs, run});
	}

	/** Advances virtual time and runs the events that become due. */
	advance(durationMs: number): void {
		const endMs = this.nowMs + durationMs;
		for (let next = this.#events.at(-1); next !== undefined && next.atMs <= endMs; next = this.#events.at(-1)) {
			this.#events.pop();
			this.nowMs = next.atMs;
			next.run();
		}

		this.nowMs = endMs;
	}
}
