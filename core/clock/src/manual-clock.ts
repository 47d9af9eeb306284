import {Clock, type Timestamp, type Timer} from './clock.js';

type PendingTimer = {
	readonly dueMs: number;
	readonly sequence: number;
	readonly callback: () => void;
};

const defaultStartTimestamp: Timestamp = {monotonicMs: 0, wallMs: 1_700_000_000_000};

/** A clock that advances only on request. For tests and for programs that embed the core and control the time themselves. */
export class ManualClock extends Clock {
	readonly #pending = new Set<PendingTimer>();
	#monotonicMs: number;
	#wallMs: number;
	#nextSequence = 0;

	constructor(start: Timestamp = defaultStartTimestamp) {
		super();
		this.#monotonicMs = start.monotonicMs;
		this.#wallMs = start.wallMs;
	}

	override readTimestamp(): Timestamp {
		return {monotonicMs: this.#monotonicMs, wallMs: this.#wallMs};
	}

	override startTimer(delayMs: number, callback: () => void): Timer {
		const timer: PendingTimer = {dueMs: this.#monotonicMs + Math.max(0, delayMs), sequence: this.#nextSequence++, callback};
		this.#pending.add(timer);
		return {
			close: () => {
				this.#pending.delete(timer);
			},
		};
	}

	/** Advances both clocks and runs the timers that become due, in order. */
	advance(durationMs: number): void {
		const endMs = this.#monotonicMs + durationMs;
		for (let next = this.#findNext(endMs); next !== undefined; next = this.#findNext(endMs)) {
			this.#moveTo(Math.max(next.dueMs, this.#monotonicMs));
			this.#pending.delete(next);
			next.callback();
		}

		this.#moveTo(endMs);
	}

	/** Advances only the wall clock, as when the monotonic clock stops while a VM is suspended. */
	advanceWallOnly(durationMs: number): void {
		this.#wallMs += durationMs;
	}

	#findNext(endMs: number): PendingTimer | undefined {
		let next: PendingTimer | undefined;
		for (const timer of this.#pending) {
			if (timer.dueMs <= endMs && (next === undefined || timer.dueMs < next.dueMs || (timer.dueMs === next.dueMs && timer.sequence < next.sequence))) {
				next = timer;
			}
		}

		return next;
	}

	#moveTo(monotonicMs: number): void {
		this.#wallMs += monotonicMs - this.#monotonicMs;
		this.#monotonicMs = monotonicMs;
	}
}
