import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import {RowTable} from '@buckthornpoint/table-service/row-table.js';
import {
	TableStore, type Row, type StoreFailure, type Transaction,
} from '@buckthornpoint/table-store/table-store.js';
import {err, ok, ResultAsync} from 'neverthrow';

/** Fault injected into one commit. */
export type CommitFault = 'none' | 'answer-lost' | 'effect-late' | 'request-lost' | 'unavailable';

/** Runs a step of the store at the time chosen by the test. */
export type StepScheduler = <T>(step: () => T) => Promise<T>;

/** An in-memory table store whose steps are scheduled by the test, and whose commits fail with the given faults. */
export class ScriptedStore extends TableStore {
	readonly table = new RowTable();
	isDown = false;
	readonly #schedule: StepScheduler;
	readonly #faults: CommitFault[];

	constructor(schedule: StepScheduler = async step => step(), faults: readonly CommitFault[] = []) {
		super();
		this.#schedule = schedule;
		this.#faults = [...faults];
	}

	override readRow(key: string): ResultAsync<Row | undefined, StoreFailure> {
		return new ResultAsync(this.#schedule(() => this.isDown ? err(createFailure('unavailable')) : ok(this.table.readRow(key))));
	}

	override readRows(prefix: string): ResultAsync<readonly Row[], StoreFailure> {
		return new ResultAsync(this.#schedule(() => this.isDown ? err(createFailure('unavailable')) : ok(this.table.readRows(prefix))));
	}

	override commitTransaction(transaction: Transaction): ResultAsync<void, StoreFailure> {
		const fault = this.isDown ? 'unavailable' : this.#faults.shift() ?? 'none';
		if (fault === 'effect-late') {
			void this.#schedule(() => this.table.commitTransaction(transaction));
		}

		return new ResultAsync(this.#schedule(() => {
			if (fault === 'unavailable') {
				return err(createFailure('unavailable'));
			}

			if (fault === 'effect-late' || fault === 'request-lost') {
				return err(createFailure('outcome-unknown'));
			}

			const isCommitted = this.table.commitTransaction(transaction);
			if (fault === 'answer-lost') {
				return err(createFailure('outcome-unknown'));
			}

			return isCommitted ? ok(undefined) : err(createFailure('conflict'));
		}));
	}

	override async close(): Promise<void> {
		// There are no resources to close.
	}
}

function createFailure(kind: StoreFailure['kind']): StoreFailure {
	const code = ({conflict: 'ERR_STORE_CONFLICT', unavailable: 'ERR_STORE_UNAVAILABLE', 'outcome-unknown': 'ERR_STORE_OUTCOME_UNKNOWN'} as const)[kind];
	return {kind, error: new BuckthornpointError(code, kind)};
}
