import {deriveCause, type Cause} from '../src/trace/derive-cause.js';
import {deriveScope, SurroundingsSearch, type TraceQuestion} from '../src/trace/nearby-lines.js';
import {TraceSearch, type TraceFindings} from '../src/trace/trace-search.js';

/** The second of the day in which the lines of the tests lie. */
export const startMs = Date.parse('2026-06-07T15:44:00.000Z');

/** Writes a line as a node does, at a time after the start. */
export function formatNodeLine(atMs: number, vmId: string, event: string, data: Readonly<Record<string, unknown>> = {}): string {
	return JSON.stringify({
		time: new Date(startMs + atMs).toISOString(), level: 'info', vmId, event, ...data,
	});
}

/** A question for the request `r1`. */
export function createQuestion(opts: Partial<TraceQuestion> = {}): TraceQuestion {
	return {
		requestId: 'r1', windowMs: 5000, sentMs: undefined, entryVm: undefined, status: undefined, ...opts,
	};
}

/** What both readings of some lines find. */
export type Traced = {
	readonly findings: TraceFindings;
	/** The lines around the request: moment after the start, writer, event. */
	readonly around: ReadonlyArray<readonly [number, string | undefined, string]>;
	readonly cause: Cause;
};

/** Traces a request through lines of one or several sources. */
export function findCause(sources: Readonly<Record<string, readonly string[]>>, question = createQuestion()): Traced {
	const search = new TraceSearch(question.requestId);
	const texts = Object.entries(sources).flatMap(([source, lines]) => lines.map(text => ({source, text})));
	for (const {source, text} of texts) {
		search.noteText(text, source);
	}

	const findings = search.getFindings();
	const scope = deriveScope(findings, question);
	const surroundings = scope === undefined ? undefined : new SurroundingsSearch(scope, findings);
	for (const {source, text} of texts) {
		surroundings?.noteText(text, source);
	}

	const around = surroundings?.getLines() ?? [];
	return {
		findings, around: around.map(({timeMs, vmId, event}) => [timeMs - startMs, vmId, event] as const), cause: deriveCause(question, findings, around),
	};
}
