import {performance} from 'node:perf_hooks';
import {setImmediate} from 'node:timers';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {PeriodicTimer} from '@buckthornpoint/clock/periodic-timer.js';

/** Interval at which the present turn of the event loop is recorded at the least. */
const intervalMs = 100;

/** If the timer is later than this, the process did not run. */
const maxLatenessMs = 50;

/** The event loop counts as having waited for events if it did for this long: all that had arrived before was read in earlier turns. */
const minIdleMs = 1;

/**
 * Estimates when bytes that are read now have arrived. They may have waited: for the turn of the event loop in which they arrived,
 * or for a process that did not run. A time-out that began only when they are read would hold their caller for longer.
 */
export class ArrivalClock {
	readonly #clock: Clock;
	readonly #readIdleMs: () => number;
	readonly #timer: PeriodicTimer;
	/** When the last recorded turn read its events, and when it ended. */
	#turnStartMs: number;
	#turnEndMs: number;
	#idleMs: number;
	#isRecordDue = false;

	/** `readIdleMs` returns how long the event loop has waited for events since the start of the process. */
	constructor(clock: Clock, readIdleMs: () => number = () => performance.nodeTiming.idleTime) {
		this.#clock = clock;
		this.#readIdleMs = readIdleMs;
		this.#turnStartMs = this.#readNowMs();
		this.#turnEndMs = this.#turnStartMs;
		this.#idleMs = readIdleMs();
		this.#timer = new PeriodicTimer(clock, intervalMs, () => {
			this.recordTurn();
		});
	}

	/** Returns the earliest time at which bytes that are read in this turn may have arrived. */
	estimateEarliestMs(): number {
		this.#recordTurnAtEnd();
		return this.#hasStalled(this.#readNowMs()) ? this.#turnStartMs : this.#estimateTurnStartMs();
	}

	/** Records the end of the present turn. */
	recordTurn(): void {
		const idleMs = this.#readIdleMs();
		this.#turnStartMs = this.#hasWaited(idleMs) ? this.#turnEndMs + idleMs - this.#idleMs : this.#turnEndMs;
		this.#turnEndMs = this.#readNowMs();
		this.#idleMs = idleMs;
	}

	close(): void {
		this.#timer.close();
	}

	/** What was not read in the last recorded turn has arrived after that turn read its events. */
	#estimateTurnStartMs(): number {
		const idleMs = this.#readIdleMs();
		return this.#hasWaited(idleMs) ? this.#turnEndMs + idleMs - this.#idleMs : this.#turnStartMs;
	}

	#hasWaited(idleMs: number): boolean {
		return idleMs - this.#idleMs >= minIdleMs;
	}

	#hasStalled(nowMs: number): boolean {
		return nowMs - this.#turnEndMs > intervalMs + maxLatenessMs;
	}

	#recordTurnAtEnd(): void {
		if (!this.#isRecordDue) {
			this.#isRecordDue = true;
			setImmediate(() => {
				this.#isRecordDue = false;
				this.recordTurn();
			});
		}
	}

	#readNowMs(): number {
		return this.#clock.readTimestamp().monotonicMs;
	}
}
