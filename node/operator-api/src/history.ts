import type {HistoryEntry, OperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import type {TableStore} from '@buckthornpoint/table-store/table-store.js';
import {ResultAsync} from 'neverthrow';
import {readHistoryEntry} from './configuration-rows.js';

/** Range of the history to read. */
export type HistoryOpts = {
	/** Newest version to read. */
	readonly latest: number;
	/** Maximum number of versions. */
	readonly limit: number;
};

/** Reads accepted versions, newest first. Versions that are no longer kept are omitted. */
export function readHistory(store: TableStore, opts: HistoryOpts): ResultAsync<readonly HistoryEntry[], OperatorFailure> {
	const oldest = Math.max(1, opts.latest - opts.limit + 1);
	const versions = Array.from({length: Math.max(0, opts.latest - oldest + 1)}, (_, index) => opts.latest - index);
	return ResultAsync.combine(versions.map(version => readHistoryEntry(store, version)))
		.map(entries => entries.filter(entry => entry !== undefined));
}
