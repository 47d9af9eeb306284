import type {Arguments} from 'yargs';
import type {Command, CommandContext} from '../command.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {formatTrace, toTraceDocument} from '../render/trace.js';
import {
	isExplainingEvent, NearbyLineSearch, deriveScope, type TraceQuery,
} from '../trace/nearby-lines.js';
import {parseLogLine} from '../trace/log-line.js';
import {splitLines} from '../trace/split-lines.js';
import {createTraceReport, type TraceReport} from '../trace/trace-report.js';
import {TraceSearch} from '../trace/trace-search.js';

/** Longer than a lease, so that the event that took a key from its owner is within the window. */
const defaultWindowSeconds = 5;

const standardInput = '-';

/** Maximum total size of the lines from standard input that are kept for the second pass. Files are read twice instead. */
const maxBufferedBytes = 32 * 1024 * 1024;

/** `logs trace <id> [files..]`: prints everything that collected logs contain about a request, and the cause of its failure. */
export const logsCommand: Command = {
	usage: 'logs <action> <id> [files..]',
	summary: 'Follow a request through the collected logs of any number of nodes, to its cause (action: trace)',
	options: {
		action: {choices: ['trace'], describe: 'What to do with the logs'},
		id: {type: 'string', describe: 'Id of the request'},
		files: {
			type: 'string', array: true, default: [], describe: 'Log files; a folder stands for its .log files, none or - for standard input',
		},
		'window-seconds': {type: 'number', default: defaultWindowSeconds, describe: 'How long before and after the request other lines are searched for'},
		at: {type: 'string', describe: 'When the request was sent, in the time format of the logs; for a request without a log line'},
		entry: {type: 'string', describe: 'VM that the request was sent to; for a request without a log line'},
		status: {type: 'number', describe: 'Status of the answer; for a request without a log line'},
		json: {type: 'boolean', default: false, describe: 'Print one JSON document for programs'},
	},
	examples: [
		['$0 logs trace 127e6d865fcd73c0 logs/', 'Print the lines of the request on all nodes, related lines near it in time, and the cause'],
		['$0 logs trace 127e6d865fcd73c0 --entry sklad-1 --at 2026-06-07T15:44:43Z logs/', 'The same; if no line is found, also why there is none'],
	],
	run: runLogs,
};

async function runLogs(values: Arguments, context: CommandContext): Promise<ExitCode> {
	const query = readQuery(values);
	if (Number.isNaN(query.sentMs) || Number.isNaN(query.status) || !(query.windowMs >= 0)) {
		context.report('ERR_USAGE: --at is a time such as 2026-06-07T15:44:43.324Z, --status a number, --window-seconds a number from 0 on');
		return exitCodes.usage;
	}

	const names = Array.isArray(values.files) && values.files.length > 0 ? values.files.map(String) : [standardInput];
	try {
		const report = await runTrace(query, names, context);
		context.print(values.json === true ? JSON.stringify(toTraceDocument(report)) : formatTrace(report));
		return exitCodes.done;
	} catch (error) {
		if (!isFileError(error)) {
			throw error;
		}

		context.report(`ERR_USAGE: ${error.message}`);
		return exitCodes.usage;
	}
}

function readQuery(values: Arguments): TraceQuery {
	return {
		requestId: String(values.id),
		windowMs: Number(values['window-seconds']) * 1000,
		sentMs: typeof values.at === 'string' ? Date.parse(values.at) : undefined,
		status: typeof values.status === 'number' ? values.status : undefined,
		entryVm: typeof values.entry === 'string' ? values.entry : undefined,
	};
}

function isFileError(error: unknown): error is Error {
	return error instanceof Error && 'syscall' in error;
}

async function runTrace(query: TraceQuery, names: readonly string[], context: CommandContext): Promise<TraceReport> {
	const lists = await Promise.all(names.map(async name => name === standardInput ? [name] : context.listLogFiles(name)));
	const sources = lists.flat();
	const search = new TraceSearch(query.requestId);
	const buffered = new BufferedLines();
	for (const source of sources) {
		for await (const text of splitLines(context.readChunks(source))) {
			search.recordLine(text, source);
			if (source === standardInput) {
				buffered.add(text);
			}
		}
	}

	const findings = search.getFindings();
	const scope = deriveScope(findings, query);
	if (scope === undefined) {
		return createTraceReport(query, {findings, around: [], aroundLeftOut: 0});
	}

	const nearbyLines = new NearbyLineSearch(scope, findings);
	for (const source of sources) {
		for await (const text of source === standardInput ? buffered.getLines() : splitLines(context.readChunks(source))) {
			nearbyLines.recordLine(text, source);
		}
	}

	return createTraceReport(query, {findings, around: nearbyLines.getLines(), aroundLeftOut: nearbyLines.countLeftOut() + buffered.countLeftOut()});
}

/** Lines of standard input that may explain a request, kept for the second pass. */
class BufferedLines {
	/** Encoded as bytes, because a substring would keep the whole chunk that contains it in memory. */
	readonly #lines: Uint8Array[] = [];
	readonly #encoder = new TextEncoder();
	#bufferedBytes = 0;
	#leftOut = 0;

	add(text: string | undefined): void {
		const line = text === undefined ? undefined : parseLogLine(text);
		if (text === undefined || line === undefined || !isExplainingEvent(line)) {
			return;
		}

		const copy = this.#encoder.encode(text);
		if (this.#bufferedBytes + copy.byteLength <= maxBufferedBytes) {
			this.#bufferedBytes += copy.byteLength;
			this.#lines.push(copy);
		} else {
			this.#leftOut++;
		}
	}

	* getLines(): Generator<string> {
		const decoder = new TextDecoder();
		for (const line of this.#lines) {
			yield decoder.decode(line);
		}
	}

	countLeftOut(): number {
		return this.#leftOut;
	}
}
