import type {Arguments} from 'yargs';
import type {Command, CommandContext} from '../command.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {formatTrace, toTraceDocument} from '../render/trace.js';
import {
	isExplainingEvent, SurroundingsSearch, deriveScope, type TraceQuestion,
} from '../trace/nearby-lines.js';
import {parseLogLine} from '../trace/log-line.js';
import {splitLines} from '../trace/split-lines.js';
import {createTraceReport, type TraceReport} from '../trace/trace-report.js';
import {TraceSearch} from '../trace/trace-search.js';

/** Longer than a lease, so that what took a key from its owner is seen. */
const defaultWindowSeconds = 5;

const standardInput = '-';

/** What is kept of standard input for the second reading, in bytes. Files are read twice instead. */
const maxHeldBytes = 32 * 1024 * 1024;

/** `logs trace <id> [files..]`: everything that collected logs say about a request. */
export const logsCommand: Command = {
	usage: 'logs <action> <id> [files..]',
	summary: 'Follow a request through the collected logs of any number of nodes, to its cause (action: trace)',
	options: {
		action: {choices: ['trace'], describe: 'What is asked of the logs'},
		id: {type: 'string', describe: 'Id of the request'},
		files: {
			type: 'string', array: true, default: [], describe: 'Logs; a folder stands for its .log files, none or - for standard input',
		},
		'window-seconds': {type: 'number', default: defaultWindowSeconds, describe: 'How far around the request other lines are looked for'},
		at: {type: 'string', describe: 'When the request was sent, as the logs write it; for one without a line'},
		entry: {type: 'string', describe: 'VM that the request was sent to; for one without a line'},
		status: {type: 'number', describe: 'Status of the answer; for one without a line'},
		json: {type: 'boolean', default: false, describe: 'Print one JSON document for programs'},
	},
	examples: [
		['$0 logs trace 127e6d865fcd73c0 logs/', 'The lines of the request on all nodes, what happened around it, and the cause'],
		['$0 logs trace 127e6d865fcd73c0 --entry sklad-1 --at 2026-06-07T15:44:43Z logs/', 'The same; if no line is found, why there is none'],
	],
	run: runLogs,
};

async function runLogs(values: Arguments, context: CommandContext): Promise<ExitCode> {
	const question = readQuestion(values);
	if (Number.isNaN(question.sentMs) || Number.isNaN(question.status) || !(question.windowMs >= 0)) {
		context.report('ERR_USAGE: --at is a time such as 2026-06-07T15:44:43.324Z, --status a number, --window-seconds a number from 0 on');
		return exitCodes.usage;
	}

	const names = Array.isArray(values.files) && values.files.length > 0 ? values.files.map(String) : [standardInput];
	try {
		const report = await runTrace(question, names, context);
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

function readQuestion(values: Arguments): TraceQuestion {
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

async function runTrace(question: TraceQuestion, names: readonly string[], context: CommandContext): Promise<TraceReport> {
	const lists = await Promise.all(names.map(async name => name === standardInput ? [name] : context.listLogFiles(name)));
	const sources = lists.flat();
	const search = new TraceSearch(question.requestId);
	const held = new HeldLines();
	for (const source of sources) {
		for await (const text of splitLines(context.readPieces(source))) {
			search.noteText(text, source);
			if (source === standardInput) {
				held.add(text);
			}
		}
	}

	const findings = search.getFindings();
	const scope = deriveScope(findings, question);
	if (scope === undefined) {
		return createTraceReport(question, {findings, around: [], aroundLeftOut: 0});
	}

	const surroundings = new SurroundingsSearch(scope, findings);
	for (const source of sources) {
		for await (const text of source === standardInput ? held.getLines() : splitLines(context.readPieces(source))) {
			surroundings.noteText(text, source);
		}
	}

	return createTraceReport(question, {findings, around: surroundings.getLines(), aroundLeftOut: surroundings.countLeftOut() + held.countLeftOut()});
}

/** Lines of standard input that may explain a request, kept until it is known which do. */
class HeldLines {
	/** Copies: a text that was cut out of a larger one keeps that alive. */
	readonly #lines: Uint8Array[] = [];
	readonly #encoder = new TextEncoder();
	#heldBytes = 0;
	#leftOut = 0;

	add(text: string | undefined): void {
		const line = text === undefined ? undefined : parseLogLine(text);
		if (text === undefined || line === undefined || !isExplainingEvent(line)) {
			return;
		}

		const copy = this.#encoder.encode(text);
		if (this.#heldBytes + copy.byteLength <= maxHeldBytes) {
			this.#heldBytes += copy.byteLength;
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
