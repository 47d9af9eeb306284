import {measureElapsedMs, type Clock, type Timestamp} from '@buckthornpoint/clock/clock.js';
import type {BackendServerLoad, Worker} from './worker.js';

/** The reported load: a copy that is renewed only once it is as old as the fault `loadLagMs`. */
export class LoadReport {
	readonly #clock: Clock;
	readonly #worker: Worker;
	#report: BackendServerLoad;
	#measuredAt: Timestamp;

	constructor(clock: Clock, worker: Worker) {
		this.#clock = clock;
		this.#worker = worker;
		this.#report = worker.load;
		this.#measuredAt = clock.readTimestamp();
	}

	/** Renews the report if it is outdated, and returns it. */
	refresh(): BackendServerLoad {
		const now = this.#clock.readTimestamp();
		if (measureElapsedMs(this.#measuredAt, now) >= this.#worker.faults.loadLagMs) {
			this.#report = this.#worker.load;
			this.#measuredAt = now;
		}

		return this.#report;
	}
}
