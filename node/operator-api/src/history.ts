import type {HistoryEntry, OperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import type {TableStore} from '@buckthornpoint/table-store/table-store.js';
import {ResultAsync} from 'neverthrow';
import {readHistoryEntry} from './configuration-rows.js';

/** Range of the history to read. */
export type HistoryOpts = {
	/** Newest version to read; older versions follow. */
	readonly latest: number;
	/** Maximum number of versions. */
	readonly limit: number;
};

/** Reads the history entries of accepted versions, newest first. Entries that are no longer in the store are omitted. */
export function readHistory(store: TableStore, opts: HistoryOpts): ResultAsync<readonly HistoryEntry[], OperatorFailure> {
	const oldest = Math.max(1, opts.latest - opts.limit + 1);
	const versions = Array.from({length: Math.max(0, opts.latest - oldest + 1)}, (_, index) => opts.latest - index);
	return ResultAsync.combine(versions.map(version => readHistoryEntry(store, version)))
		.map(entries => entries.filter(entry => entry !== undefined));
}
