import {decodeConfiguration} from '@buckthornpoint/configuration/decode-configuration.js';
import {
	createOperatorFailure, historyEntryCodec, type HistoryEntry, type OperatorFailure,
} from '@buckthornpoint/configuration/operator-protocol.js';
import type {StoreFailure, TableStore, Transaction} from '@buckthornpoint/table-store/table-store.js';
import {emptyConfiguration, type Configuration} from '@buckthornpoint/types/configuration.js';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';

/** Key of the row that holds the configuration in force. */
export const configurationKey = 'configuration';

const historyDigits = 10;
const historyLength = 1000;

/** The configuration in the store, with the row version for a compare-and-set. */
export type StoredConfiguration = {
	readonly configuration: Configuration;
	readonly rowVersion: number;
};

/** A new version to be written, with its history entry. */
export type ConfigurationWrite = {
	readonly writeId: string;
	readonly rowVersion: number;
	readonly configuration: Configuration;
	readonly entry: HistoryEntry;
	/** Unmodified content of the release note; absent for a command. */
	readonly note?: string;
};

/** Reads the configuration in force. */
export function readStoredConfiguration(store: TableStore): ResultAsync<StoredConfiguration, OperatorFailure> {
	return store.readRow(configurationKey).mapErr(failure => createStoreFailure(failure)).andThen(row => {
		if (row === undefined) {
			return okAsync({configuration: emptyConfiguration, rowVersion: 0});
		}

		return decodeConfiguration(row.value)
			.map(configuration => ({configuration, rowVersion: row.version}))
			.mapErr(findings => createOperatorFailure('ERR_CONFIGURATION_INVALID', 'the configuration in the store cannot be read', findings));
	});
}

/** Builds the transaction that puts a configuration in force if the row still has the version that was read. It also removes the history entry that is no longer kept. */
export function buildTransaction(write: ConfigurationWrite): Transaction {
	const {version} = write.configuration;
	const expiredEntries = version > historyLength ? [{key: formatHistoryKey(version - historyLength), value: undefined}] : [];
	return {
		writeId: write.writeId,
		conditions: [{key: configurationKey, version: write.rowVersion}],
		writes: [
			{key: configurationKey, value: write.configuration},
			{key: formatHistoryKey(version), value: {...write.entry, note: write.note}},
			...expiredEntries,
		],
	};
}

/** Returns the id of the write that created a version; undefined if the version was never accepted or is no longer kept. */
export function findWriteId(store: TableStore, version: number): ResultAsync<string | undefined, OperatorFailure> {
	return store.readRow(formatHistoryKey(version)).map(row => row?.writeId).mapErr(failure => createStoreFailure(failure));
}

/** Reads one entry of the history; undefined if it does not exist. */
export function readHistoryEntry(store: TableStore, version: number): ResultAsync<HistoryEntry | undefined, OperatorFailure> {
	return store.readRow(formatHistoryKey(version)).mapErr(failure => createStoreFailure(failure)).andThen(row => {
		if (row === undefined) {
			return okAsync(undefined);
		}

		const entry = historyEntryCodec.decode(row.value);
		return entry.isRight()
			? okAsync(entry.extract())
			: errAsync(createOperatorFailure('ERR_CONFIGURATION_INVALID', `the history of version ${version} cannot be read`));
	});
}

/** Converts a store failure to the failure that is reported to the operator. */
export function createStoreFailure(failure: StoreFailure): OperatorFailure {
	const message = failure.kind === 'outcome-unknown'
		? 'the store did not say whether it accepted the change'
		: 'this node cannot reach the store; nothing was accepted';
	return createOperatorFailure(failure.error.code, `${message} (${failure.error.message})`);
}

function formatHistoryKey(version: number): string {
	return `history/${String(version).padStart(historyDigits, '0')}`;
}
