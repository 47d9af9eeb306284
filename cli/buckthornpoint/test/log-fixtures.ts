import {deriveCause, type Cause} from '../src/trace/derive-cause.js';
import {deriveScope, NearbyLineSearch, type TraceQuery} from '../src/trace/nearby-lines.js';
import {TraceSearch, type TraceFindings} from '../src/trace/trace-search.js';

/** Time from which the lines of the tests count. */
export const startMs = Date.parse('2026-06-07T15:44:00.000Z');

/** Formats a line as a node writes it, `atMs` after the start. */
export function formatNodeLine(atMs: number, vmId: string, event: string, data: Readonly<Record<string, unknown>> = {}): string {
	return JSON.stringify({
		time: new Date(startMs + atMs).toISOString(), level: 'info', vmId, event, ...data,
	});
}

/** Creates a query for the request `r1`. */
export function createQuery(opts: Partial<TraceQuery> = {}): TraceQuery {
	return {
		requestId: 'r1', windowMs: 5000, sentMs: undefined, entryVm: undefined, status: undefined, ...opts,
	};
}

/** The results of both passes over the lines of a test. */
export type TraceResult = {
	readonly findings: TraceFindings;
	/** The nearby lines: time after the start in milliseconds, writer, event. */
	readonly around: ReadonlyArray<readonly [number, string | undefined, string]>;
	readonly cause: Cause;
};

/** Traces a request through the lines of one or several sources. */
export function findCause(sources: Readonly<Record<string, readonly string[]>>, query = createQuery()): TraceResult {
	const search = new TraceSearch(query.requestId);
	const texts = Object.entries(sources).flatMap(([source, lines]) => lines.map(text => ({source, text})));
	for (const {source, text} of texts) {
		search.recordLine(text, source);
	}

	const findings = search.getFindings();
	const scope = deriveScope(findings, query);
	const nearbyLines = scope === undefined ? undefined : new NearbyLineSearch(scope, findings);
	for (const {source, text} of texts) {
		nearbyLines?.recordLine(text, source);
	}

	const around = nearbyLines?.getLines() ?? [];
	return {
		findings, around: around.map(({timeMs, vmId, event}) => [timeMs - startMs, vmId, event] as const), cause: deriveCause(query, findings, around),
	};
}
