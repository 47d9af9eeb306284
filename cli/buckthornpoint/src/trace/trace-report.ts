import {deriveCause, type Cause} from './derive-cause.js';
import type {LogLine} from './log-line.js';
import {deriveScope, type Scope, type TraceQuery} from './nearby-lines.js';
import type {TraceFindings} from './trace-search.js';

/** Everything that the logs contain about a request. */
export type TraceReport = {
	readonly query: TraceQuery;
	readonly findings: TraceFindings;
	readonly scope: Scope | undefined;
	/** Other lines that may explain the result of the request, ordered by time. */
	readonly around: readonly LogLine[];
	/** How many lines that may explain the result were left out because of the limit. */
	readonly aroundLeftOut: number;
	readonly cause: Cause;
};

/** The results of both passes over the logs. */
export type ReportOpts = {
	readonly findings: TraceFindings;
	readonly around: readonly LogLine[];
	readonly aroundLeftOut: number;
};

/** Creates the report, with the cause derived from the results of both passes. */
export function createTraceReport(query: TraceQuery, {findings, around, aroundLeftOut}: ReportOpts): TraceReport {
	return {
		query, findings, scope: deriveScope(findings, query), around, aroundLeftOut, cause: deriveCause(query, findings, around),
	};
}
