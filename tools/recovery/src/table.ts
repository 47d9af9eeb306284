/** Formats records as a Markdown table; numbers have at most two decimals. */
export function formatTable(records: ReadonlyArray<Readonly<Record<string, string | number>>>): string {
	const names = Object.keys(records[0] ?? {});
	const rows = records.map(record => formatRow(names.map(name => formatCell(record[name] ?? ''))));
	return [formatRow(names), formatRow(names.map(() => '---')), ...rows].join('\n');
}

function formatRow(cells: readonly string[]): string {
	return `| ${cells.join(' | ')} |`;
}

function formatCell(value: string | number): string {
	return typeof value === 'number' ? String(Number(value.toFixed(2))) : value;
}
