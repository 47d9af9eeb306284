import type {HistoryEntry} from '@buckthornpoint/configuration/operator-protocol.js';

/** Formats accepted versions: one line each, followed by its changes, indented. */
export function formatHistory(entries: readonly HistoryEntry[]): string {
	return entries.map(entry => [
		`version ${entry.version}  ${new Date(entry.acceptedAtMs).toISOString()}  ${entry.operator}: ${entry.summary}`,
		...entry.changes.map(change => `  ${change}`),
	].join('\n')).join('\n');
}
