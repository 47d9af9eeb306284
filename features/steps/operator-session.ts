import {readFile} from 'node:fs/promises';
import {runCommandLine} from '@buckthornpoint/buckthornpoint/run-command-line.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {operatorKey} from './deployment.js';

/** Result of one command. */
export type CommandRecord = {
	readonly exitCode: number;
	/** Standard output and error output in the order in which they were written. */
	readonly output: string;
};

/** Context in which an operator runs commands. */
export type SessionOpts = {
	readonly clock: Clock;
	readonly nodes: readonly string[];
	readonly operator: string;
	/** Contents of files that exist only in the session, by name. */
	readonly files: ReadonlyMap<string, string>;
};

let lastChangeId = 0;

/** Runs one command line of an operator's session. */
export async function runOperatorCommand(line: string, opts: SessionOpts): Promise<CommandRecord> {
	const lines: string[] = [];
	const record = (text: string): void => {
		lines.push(text);
	};

	const exitCode = await runCommandLine(line.split(' ').slice(1), {
		clock: opts.clock,
		env: createEnvironment(opts),
		print: record,
		report: record,
		readFile: async path => opts.files.get(path) ?? readFile(new URL(`../../../${path}`, import.meta.url), 'utf8'),
		listLogFiles: async path => [path],
		async * readChunks(path) {
			yield await readFile(new URL(`../../../${path}`, import.meta.url), 'utf8');
		},
		generateId: () => `session-change-${++lastChangeId}`,
		signal: new AbortController().signal,
	});
	return {exitCode, output: lines.join('\n')};
}

/** Formats a command and its result for a golden file; parts that differ between runs are replaced by placeholders. */
export function formatRecord(line: string, {exitCode, output}: CommandRecord): string {
	return `$ ${line}\n${replaceVariableParts(output)}\nexit code ${exitCode}\n`;
}

function createEnvironment({nodes, operator}: SessionOpts): Readonly<Record<string, string>> {
	return Object.fromEntries([
		['BUCKTHORNPOINT_NODES', nodes.join(',')], ['BUCKTHORNPOINT_OPERATOR_KEY', operatorKey], ['BUCKTHORNPOINT_OPERATOR', operator],
	]);
}

function replaceVariableParts(text: string): string {
	return filterProgressLines(text)
		.replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/gv, '<time>')
		.replaceAll(/map \d+/gv, 'map <n>')
		.replaceAll(/map version \d+/gv, 'map version <n>')
		.replaceAll(/controller [^\s\(]+ \(epoch \d+\)/gv, 'controller <VM> (epoch <n>)')
		.replaceAll(/from [^\s]+-\d+$/gmv, 'from <VM>')
		.replaceAll(/owner: VM \S+ in \S+, backend server \S+/gv, 'owner: VM <VM> in <failure domain>, backend server <backend server>')
		.replaceAll(/gives it to \S+/gv, 'gives it to <VM>')
		.replaceAll(/fence \d+\.\d+/gv, 'fence <epoch>.<counter>')
		.replaceAll(/lease: \d+ ms/gv, 'lease: <n> ms')
		.replaceAll(/heard \d+ ms ago/gv, 'heard <n> ms ago')
		.replaceAll(/(?<=│ active +│ )\d+ *(?= │ \d+ +│$)/gmv, cell => 'n'.padEnd(cell.length));
}

/** Progress lines depend on when the status is polled, so only the last line of each sequence is kept. */
function filterProgressLines(text: string): string {
	const lines = text.split('\n');
	return lines.filter((line, index) => !isProgressLine(line) || !isProgressLine(lines[index + 1] ?? '')).join('\n');
}

function isProgressLine(line: string): boolean {
	return /^version \d+ in force on \d+ of \d+ VMs/v.test(line);
}
