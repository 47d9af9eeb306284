import {Clock, type Moment, type Timer} from './clock.js';

type PendingTimer = {
	readonly dueMs: number;
	readonly order: number;
	readonly callback: () => void;
};

const defaultStart: Moment = {monotonicMs: 0, wallMs: 1_700_000_000_000};

/** A clock that moves only when it is told to. For tests and for programs that embed the core under their own time. */
export class ManualClock extends Clock {
	readonly #pending = new Set<PendingTimer>();
	#monotonicMs: number;
	#wallMs: number;
	#order = 0;

	constructor(start: Moment = defaultStart) {
		super();
		this.#monotonicMs = start.monotonicMs;
		this.#wallMs = start.wallMs;
	}

	override readMoment(): Moment {
		return {monotonicMs: this.#monotonicMs, wallMs: this.#wallMs};
	}

	override startTimer(delayMs: number, callback: () => void): Timer {
		const timer: PendingTimer = {dueMs: this.#monotonicMs + Math.max(0, delayMs), order: this.#order++, callback};
		this.#pending.add(timer);
		return {
			close: () => {
				this.#pending.delete(timer);
			},
		};
	}

	/** Moves both clocks on and runs the timers that come due, in order. */
	advance(durationMs: number): void {
		const endMs = this.#monotonicMs + durationMs;
		for (let next = this.#findNext(endMs); next !== undefined; next = this.#findNext(endMs)) {
			this.#moveTo(Math.max(next.dueMs, this.#monotonicMs));
			this.#pending.delete(next);
			next.callback();
		}

		this.#moveTo(endMs);
	}

	/** Moves only the wall clock, as in a VM pause during which the monotonic clock stood still. */
	advanceWallOnly(durationMs: number): void {
		this.#wallMs += durationMs;
	}

	#findNext(endMs: number): PendingTimer | undefined {
		let next: PendingTimer | undefined;
		for (const timer of this.#pending) {
			if (timer.dueMs <= endMs && (next === undefined || timer.dueMs < next.dueMs || (timer.dueMs === next.dueMs && timer.order < next.order))) {
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
