import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import {
	FleetStore, type TableChanges, type CommitResult, type RowTransaction, type Snapshot, type StoredRow,
} from '@buckthornpoint/fleet/fleet-store.js';
import type {StoreFailure} from '@buckthornpoint/table-store/table-store.js';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';

/** The current faults of the store. */
export type StoreFaults = {
	isDown: boolean;
	/** VMs whose calls the store refuses. */
	refusedVms: ReadonlySet<string>;
	/** Share of writes whose answer is lost. */
	lostAnswerShare: number;
	/** Whether writes whose answer is lost take effect up to some seconds later instead of immediately. */
	isDelayed: boolean;
};

/** Runs a function after a delay in simulated time. */
export type ScheduleTask = (delayMs: number, run: () => void) => void;

const answerMs = 4;
const timeoutMs = 1500;
const maxWriteDelayMs = 6000;

/** An in-memory version of the platform's store that runs in simulated time and injects faults. */
export class SimulatedStore {
	/** Whether the platform reports the era of its store. */
	hasEras = true;

	readonly faults: StoreFaults = {
		isDown: false, refusedVms: new Set(), lostAnswerShare: 0, isDelayed: false,
	};

	#rows = new Map<string, StoredRow>();
	/** The rows after each transaction, with the time of the transaction. */
	readonly #copies: Array<{readonly atMs: number; readonly version: number; readonly rows: ReadonlyMap<string, StoredRow>}> = [];
	#era = 1;
	readonly #schedule: ScheduleTask;
	readonly #random: RandomSource;
	readonly #readNowMs: () => number;
	#version = 0;

	constructor(schedule: ScheduleTask, random: RandomSource, readNowMs: () => number) {
		this.#schedule = schedule;
		this.#random = random;
		this.#readNowMs = readNowMs;
	}

	/** The era that the answers show; 0 if the store doesn't report eras. */
	get era(): number {
		return this.hasEras ? this.#era : 0;
	}

	/** Returns from a copy of the rows as they were `ageMs` ago: versions of later transactions are given out again. */
	loadCopy(ageMs: number): void {
		const copy = this.#copies.findLast(({atMs}) => atMs <= this.#readNowMs() - ageMs);
		this.#rows = new Map(copy?.rows);
		this.#version = copy?.version ?? 0;
		this.#era++;
	}

	/** Creates a client for a VM. */
	createClient(vmId: string): FleetStore {
		return new SimulatedClient(this, vmId);
	}

	read(vmId: string, table: string, finish: (result: Result<Snapshot, StoreFailure>) => void): void {
		if (this.#isUnavailable(vmId)) {
			this.#schedule(answerMs, () => {
				finish(err(createFailure('unavailable')));
			});
			return;
		}

		this.#schedule(answerMs, () => {
			finish(ok({
				rows: [...this.#rows.values()].filter(row => row.table === table), version: this.#version, nowMs: this.#readNowMs(), era: this.era,
			}));
		});
	}

	write(vmId: string, transaction: RowTransaction, finish: (result: Result<CommitResult, StoreFailure>) => void): void {
		if (this.#isUnavailable(vmId)) {
			this.#schedule(answerMs, () => {
				finish(err(createFailure('unavailable')));
			});
		} else if (this.#random.generateFraction() < this.faults.lostAnswerShare) {
			this.#schedule(this.faults.isDelayed ? this.#random.generateIntegerBelow(maxWriteDelayMs) : answerMs, () => {
				this.#apply(transaction);
			});
			this.#schedule(timeoutMs, () => {
				finish(err(createFailure('outcome-unknown')));
			});
		} else {
			this.#schedule(answerMs, () => {
				finish(this.#apply(transaction));
			});
		}
	}

	#apply({conditions, writes, removals = []}: RowTransaction): Result<CommitResult, StoreFailure> {
		if (conditions.some(({table, key, version}) => (this.#rows.get(`${table}/${key}`)?.version ?? 0) !== version)) {
			return err(createFailure('conflict'));
		}

		this.#version++;
		for (const {table, key, value} of writes) {
			this.#rows.set(`${table}/${key}`, {
				table, key, value, version: this.#version,
			});
		}

		for (const {table, key} of removals) {
			this.#rows.delete(`${table}/${key}`);
		}

		this.#copies.push({atMs: this.#readNowMs(), version: this.#version, rows: new Map(this.#rows)});
		return ok({version: this.#version, nowMs: this.#readNowMs(), era: this.era});
	}

	#isUnavailable(vmId: string): boolean {
		return this.faults.isDown || this.faults.refusedVms.has(vmId);
	}
}

class SimulatedClient extends FleetStore {
	readonly #store: SimulatedStore;
	readonly #vmId: string;
	#era = 0;

	constructor(store: SimulatedStore, vmId: string) {
		super();
		this.#store = store;
		this.#vmId = vmId;
	}

	override get era(): number {
		return this.#era;
	}

	override readTable(table: string): ResultAsync<Snapshot, StoreFailure> {
		return new ResultAsync(new Promise(resolve => {
			this.#store.read(this.#vmId, table, result => {
				this.#recordAnswer(result);
				resolve(result);
			});
		}));
	}

	override watchTable(): ResultAsync<TableChanges, StoreFailure> {
		throw new Error('the simulated store does not support watches');
	}

	override commit(transaction: RowTransaction): ResultAsync<CommitResult, StoreFailure> {
		return new ResultAsync(new Promise(resolve => {
			this.#store.write(this.#vmId, transaction, result => {
				this.#recordAnswer(result);
				resolve(result);
			});
		}));
	}

	override async close(): Promise<void> {
		// There are no resources to release.
	}

	/** All answers show the era, except those that were lost. */
	#recordAnswer(result: Result<unknown, StoreFailure>): void {
		if (result.isOk() || result.error.kind === 'conflict') {
			this.#era = this.#store.era;
		}
	}
}

function createFailure(kind: StoreFailure['kind']): StoreFailure {
	return {kind, error: new BuckthornpointError('ERR_STORE_UNAVAILABLE', kind)};
}
