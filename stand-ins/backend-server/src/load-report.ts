import {measureElapsed, type Clock, type Moment} from '@buckthornpoint/clock/clock.js';
import type {BackendServerLoad, Worker} from './worker.js';

/** The load as the server reports it: a copy that is renewed only when it is older than the lag. */
export class LoadReport {
	readonly #clock: Clock;
	readonly #worker: Worker;
	#report: BackendServerLoad;
	#takenAt: Moment;

	constructor(clock: Clock, worker: Worker) {
		this.#clock = clock;
		this.#worker = worker;
		this.#report = worker.load;
		this.#takenAt = clock.readMoment();
	}

	/** Returns the report, after renewing it when it is older than the lag. */
	refresh(): BackendServerLoad {
		const now = this.#clock.readMoment();
		if (measureElapsed(this.#takenAt, now) >= this.#worker.faults.loadLagMs) {
			this.#report = this.#worker.load;
			this.#takenAt = now;
		}

		return this.#report;
	}
}
