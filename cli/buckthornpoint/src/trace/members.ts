import type {LogLine} from './log-line.js';

/** Returns the value if it is a JSON object, otherwise undefined. */
export function expectObject(value: unknown): Readonly<Record<string, unknown>> | undefined {
	return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Readonly<Record<string, unknown>> : undefined; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/** Returns a member of a line if it is a string, otherwise undefined. */
export function getString({data}: LogLine, name: string): string | undefined {
	const value = data[name];
	return typeof value === 'string' ? value : undefined;
}

/** Returns a member of a line if it is a number, otherwise undefined. */
export function getNumber({data}: LogLine, name: string): number | undefined {
	const value = data[name];
	return typeof value === 'number' ? value : undefined;
}

/** A node that a request was sent to, and why the request did not run there; no reason if the node answered. */
export type Attempt = {
	readonly vmId: string;
	readonly reason: string | undefined;
};

/** Returns the nodes that a request was sent to, in order. */
export function listAttempts({data}: LogLine): readonly Attempt[] {
	return Array.isArray(data.tries)
		? data.tries.map(entry => {
			const [vmId = '', reason] = String(entry).split(': ');
			return {vmId, reason};
		})
		: [];
}

/** Returns the counts that a `log-omitted` line gives for the event kinds, and the number of lines that were dropped because the log output was not read. */
export function listOmitted(line: LogLine, kinds: readonly string[]): readonly string[] {
	const omitted = expectObject(line.data.omitted) ?? {};
	const counts = [...kinds.map(kind => ({kind, count: Number(omitted[kind] ?? 0)})), {kind: 'of any kind, for want of a reader', count: getNumber(line, 'dropped') ?? 0}];
	return counts.filter(({count}) => count > 0).map(({kind, count}) => `${count} ${kind}`);
}
