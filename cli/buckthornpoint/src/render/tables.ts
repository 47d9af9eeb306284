import Table from 'cli-table3';

/** Formats a table for people. */
export function formatTable(head: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): string {
	const table = new Table({head: [...head], style: {head: [], border: []}});
	table.push(...rows.map(row => [...row]));
	return table.toString();
}
