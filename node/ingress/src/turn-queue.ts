import {setImmediate} from 'node:timers';
import type {Clock} from '@buckthornpoint/clock/clock.js';

/** Tasks that have run are removed from the list once they are this many. */
const maxRunTasks = 1024;

/** A turn that has not come after this time is lost, and another one is scheduled. */
const lostTurnMs = 1000;

/** Limits of a `TurnQueue`. */
export type TurnQueueOpts = {
	readonly clock: Clock;
	/** Time for tasks in one turn. The first task of a turn may take longer. */
	readonly maxMsPerTurn: number;
	/** Whether tasks must wait for a later turn; never by default. */
	readonly isHeldBack?: () => boolean;
	/** Whether the task that was added last runs first; by default the one that waits for longest does. */
	readonly isNewestFirst?: boolean;
	/** Called when the last waiting task has run. */
	readonly onEmpty?: () => void;
};

/**
 * Runs tasks for a limited time in each turn of the event loop. Otherwise a burst of requests would be handled in one turn,
 * and answers that are due, timers and readiness checks would wait until all of them were.
 */
export class TurnQueue {
	readonly #opts: TurnQueueOpts;
	#tasks: Array<() => void> = [];
	#next = 0;
	#usedMs = 0;
	/** When the next turn was scheduled; undefined if none is. */
	#scheduledMs: number | undefined;
	#isClosed = false;

	constructor(opts: TurnQueueOpts) {
		this.#opts = opts;
	}

	/** Number of tasks that wait. */
	get size(): number {
		return this.#tasks.length - this.#next;
	}

	/** Runs the task now if none waits and this turn has time left, otherwise in a later turn. */
	add(task: () => void): void {
		if (this.size > 0 || !this.#hasTime()) {
			this.#tasks.push(task);
		} else {
			this.#run(task);
		}

		this.#scheduleTurn();
	}

	/** Drops the task that waits for longest. */
	removeOldest(): void {
		this.#tasks.splice(this.#next, 1);
	}

	/** Drops the waiting tasks. */
	close(): void {
		this.#isClosed = true;
		this.#tasks = [];
		this.#next = 0;
	}

	#scheduleTurn(): void {
		const nowMs = this.#readNowMs();
		if (this.#isClosed || (this.#scheduledMs !== undefined && nowMs - this.#scheduledMs < lostTurnMs)) {
			return;
		}

		this.#scheduledMs = nowMs;
		setImmediate(() => {
			this.#scheduledMs = undefined;
			this.#usedMs = 0;
			this.#runWaiting();
		});
	}

	#runWaiting(): void {
		const hadTasks = this.size > 0;
		if (hadTasks) {
			this.#scheduleTurn();
		}

		while (this.size > 0 && this.#hasTime()) {
			this.#run(this.#pickNext());
		}

		if (hadTasks && this.size === 0) {
			this.#tasks = [];
			this.#next = 0;
			this.#opts.onEmpty?.();
		}
	}

	#pickNext(): () => void {
		if (this.#opts.isNewestFirst) {
			return this.#tasks.pop()!;
		}

		const task = this.#tasks[this.#next]!;
		this.#next++;
		if (this.#next >= maxRunTasks) {
			this.#tasks = this.#tasks.slice(this.#next);
			this.#next = 0;
		}

		return task;
	}

	#hasTime(): boolean {
		return this.#usedMs < this.#opts.maxMsPerTurn && this.#opts.isHeldBack?.() !== true;
	}

	#run(task: () => void): void {
		const startMs = this.#readNowMs();
		try {
			task();
		} finally {
			this.#usedMs += this.#readNowMs() - startMs;
		}
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
