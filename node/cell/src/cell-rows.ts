import {configurationCodec} from '@buckthornpoint/codecs/configuration-codecs.js';
import type {RecordDecoder} from '@buckthornpoint/codecs/record-decoder.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {toResult} from '@buckthornpoint/documents/either.js';
import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import type {
	CellRows, CellWrite, Versioned, WriteOutcome,
} from '@buckthornpoint/ownership/records.js';
import type {
	Row, RowWrite, StoreFailure, TableStore,
} from '@buckthornpoint/table-store/table-store.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {CellId} from '@buckthornpoint/types/identity.js';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {cellCodec, leaseCodec} from './row-codecs.js';

const configurationKey = 'configuration';

/** Dependencies and settings of a `CellRowStore`. */
export type CellRowStoreOpts = {
	readonly cell: CellId;
	readonly store: TableStore;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Timeout of one store operation. */
	readonly timeoutMs: number;
};

/** Reads and writes the rows of one cell in the table service. Logs and counts failures. */
export class CellRowStore {
	readonly #opts: CellRowStoreOpts;
	readonly #leaseKey: string;
	readonly #cellKey: string;

	constructor(opts: CellRowStoreOpts) {
		this.#opts = opts;
		this.#leaseKey = `leases/${opts.cell}`;
		this.#cellKey = `cells/${opts.cell}`;
	}

	/** Reads the lease row and the cell row. Returns undefined if the store could not be read. */
	async readRows(): Promise<CellRows | undefined> {
		const {store, timeoutMs} = this.#opts;
		const rows = await this.#measure('read-cell', ResultAsync.combine([
			store.readRow(this.#leaseKey, {timeoutMs}).andThen(row => decodeRow(row, leaseCodec)),
			store.readRow(this.#cellKey, {timeoutMs}).andThen(row => decodeRow(row, cellCodec)),
		]));
		return rows.match(([lease, cell]) => ({lease, cell}), () => undefined);
	}

	/** Writes the lease row, the cell row or both, if both still have the given versions. */
	async writeRows(write: CellWrite): Promise<WriteOutcome> {
		const {store, timeoutMs} = this.#opts;
		const written = await this.#measure('write-cell', store.commitTransaction({
			writeId: write.writeId,
			conditions: [{key: this.#leaseKey, version: write.leaseVersion}, {key: this.#cellKey, version: write.cellVersion}],
			writes: this.#listWrites(write),
		}, {timeoutMs}));
		return written.match((): WriteOutcome => 'written', ({kind}) => kind);
	}

	/** Reads the configuration in force. Fails if the store could not be read. */
	async readConfiguration(): Promise<Result<Configuration | undefined, StoreFailure>> {
		const {store, timeoutMs} = this.#opts;
		const row = await this.#measure('read-configuration', store.readRow(configurationKey, {timeoutMs})
			.andThen(known => decodeRow(known, configurationCodec)));
		return row.map(({value}) => value);
	}

	#listWrites({lease, cell}: CellWrite): readonly RowWrite[] {
		const leaseWrites = lease === undefined ? [] : [{key: this.#leaseKey, value: lease}];
		const cellWrites = cell === undefined ? [] : [{key: this.#cellKey, value: cell}];
		return [...leaseWrites, ...cellWrites];
	}

	async #measure<T>(operation: string, pending: ResultAsync<T, StoreFailure>): Promise<Result<T, StoreFailure>> {
		const {clock, log, metrics} = this.#opts;
		const startMs = clock.readTimestamp().monotonicMs;
		const result = await pending;
		metrics.recordValue('store.operation', clock.readTimestamp().monotonicMs - startMs, {operation});
		if (result.isErr()) {
			const {kind, error} = result.error;
			metrics.addCount('store.failed', 1, {operation, reason: kind});
			log.write({
				event: 'store-failed', operation, kind, message: error.message,
			});
		}

		return result;
	}
}

function decodeRow<T>(row: Row | undefined, codec: RecordDecoder<T>): Result<Versioned<T>, StoreFailure> {
	if (row === undefined) {
		return ok({version: 0, writeId: '', value: undefined});
	}

	const {version, writeId, value} = row;
	return toResult(codec.decode(value))
		.map(decoded => ({version, writeId, value: decoded}))
		.orElse(message => err(createFailure(`the row ${row.key} could not be decoded: ${message}`)));
}

function createFailure(message: string): StoreFailure {
	return {kind: 'unavailable', error: new BuckthornpointError('ERR_DOCUMENT_TYPE', message)};
}
