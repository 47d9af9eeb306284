import {expectObject} from './members.js';

/** One line of a node's log, as it was read. */
export type LogLine = {
	/** Timestamp of the line, by the wall clock of the VM that wrote it. */
	readonly timeMs: number;
	readonly event: string;
	/** The VM that wrote the line; undefined if the line does not name it. */
	readonly vmId: string | undefined;
	/** Text that the log collector inserted before the line. */
	readonly prefix: string;
	/** All members of the line. */
	readonly data: Readonly<Record<string, unknown>>;
};

/** Parses one line of a collected log; undefined if the text is not a log line of a node. Text before the first brace is the prefix of the log collector. */
export function parseLogLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	const data = start === -1 ? undefined : parseObject(text.slice(start));
	if (data === undefined || typeof data.time !== 'string' || typeof data.event !== 'string') {
		return undefined;
	}

	const timeMs = Date.parse(data.time);
	return Number.isNaN(timeMs)
		? undefined
		: {
			timeMs, event: data.event, vmId: readWriter(data, data.event), prefix: text.slice(0, start), data,
		};
}

/** Returns the VM that wrote the line. In `peer-failed`, `vmId` is the other node instead. */
function readWriter(data: Readonly<Record<string, unknown>>, event: string): string | undefined {
	return event !== 'peer-failed' && typeof data.vmId === 'string' ? data.vmId : undefined;
}

function parseObject(text: string): Readonly<Record<string, unknown>> | undefined {
	try {
		return expectObject(JSON.parse(text));
	} catch {
		return undefined;
	}
}
