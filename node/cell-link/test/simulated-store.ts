import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import {
	FleetStore, type Changes, type Committed, type RowTransaction, type Snapshot, type StoredRow,
} from '@buckthornpoint/fleet/fleet-store.js';
import type {StoreFailure} from '@buckthornpoint/table-store/table-store.js';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';

/** What is wrong with the store at a moment. */
export type StoreFaults = {
	isDown: boolean;
	/** VMs that it turns away. */
	refused: ReadonlySet<string>;
	/** Part of the writes whose answer is lost. */
	lostShare: number;
	/** Whether lost writes take effect seconds later instead of at once. */
	isLate: boolean;
};

/** Runs something later, in the time of the simulation. */
export type Later = (delayMs: number, run: () => void) => void;

const answerMs = 4;
const timeoutMs = 1500;
const maxLateMs = 6000;

/** The platform's store in memory, with its faults, in the time of a simulation. */
export class SimulatedStore {
	readonly faults: StoreFaults = {
		isDown: false, refused: new Set(), lostShare: 0, isLate: false,
	};

	readonly #rows = new Map<string, StoredRow>();
	readonly #later: Later;
	readonly #random: RandomSource;
	readonly #readNowMs: () => number;
	#version = 0;

	constructor(later: Later, random: RandomSource, readNowMs: () => number) {
		this.#later = later;
		this.#random = random;
		this.#readNowMs = readNowMs;
	}

	/** Creates the client of one VM. */
	createClient(vmId: string): FleetStore {
		return new SimulatedClient(this, vmId);
	}

	read(vmId: string, table: string, finish: (result: Result<Snapshot, StoreFailure>) => void): void {
		if (this.#isAway(vmId)) {
			this.#later(answerMs, () => {
				finish(err(createFailure('unavailable')));
			});
			return;
		}

		this.#later(answerMs, () => {
			finish(ok({rows: [...this.#rows.values()].filter(row => row.table === table), version: this.#version, nowMs: this.#readNowMs()}));
		});
	}

	write(vmId: string, transaction: RowTransaction, finish: (result: Result<Committed, StoreFailure>) => void): void {
		if (this.#isAway(vmId)) {
			this.#later(answerMs, () => {
				finish(err(createFailure('unavailable')));
			});
		} else if (this.#random.drawFraction() < this.faults.lostShare) {
			this.#later(this.faults.isLate ? this.#random.drawBelow(maxLateMs) : answerMs, () => {
				this.#apply(transaction);
			});
			this.#later(timeoutMs, () => {
				finish(err(createFailure('outcome-unknown')));
			});
		} else {
			this.#later(answerMs, () => {
				finish(this.#apply(transaction));
			});
		}
	}

	#apply({conditions, writes}: RowTransaction): Result<Committed, StoreFailure> {
		if (conditions.some(({table, key, version}) => (this.#rows.get(`${table}/${key}`)?.version ?? 0) !== version)) {
			return err(createFailure('conflict'));
		}

		this.#version++;
		for (const {table, key, value} of writes) {
			this.#rows.set(`${table}/${key}`, {
				table, key, value, version: this.#version,
			});
		}

		return ok({version: this.#version, nowMs: this.#readNowMs()});
	}

	#isAway(vmId: string): boolean {
		return this.faults.isDown || this.faults.refused.has(vmId);
	}
}

class SimulatedClient extends FleetStore {
	readonly #store: SimulatedStore;
	readonly #vmId: string;

	constructor(store: SimulatedStore, vmId: string) {
		super();
		this.#store = store;
		this.#vmId = vmId;
	}

	override readTable(table: string): ResultAsync<Snapshot, StoreFailure> {
		return new ResultAsync(new Promise(resolve => {
			this.#store.read(this.#vmId, table, resolve);
		}));
	}

	override watchTable(): ResultAsync<Changes, StoreFailure> {
		throw new Error('nothing is watched in the simulation');
	}

	override commit(transaction: RowTransaction): ResultAsync<Committed, StoreFailure> {
		return new ResultAsync(new Promise(resolve => {
			this.#store.write(this.#vmId, transaction, resolve);
		}));
	}

	override async close(): Promise<void> {
		// Nothing is held.
	}
}

function createFailure(kind: StoreFailure['kind']): StoreFailure {
	return {kind, error: new BuckthornpointError('ERR_STORE_UNAVAILABLE', kind)};
}
