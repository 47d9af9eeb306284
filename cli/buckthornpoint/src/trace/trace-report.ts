import {deriveCause, type Cause} from './derive-cause.js';
import type {LogLine} from './log-line.js';
import {deriveScope, type Scope, type TraceQuestion} from './nearby-lines.js';
import type {TraceFindings} from './trace-search.js';

/** Everything that the logs say about a request. */
export type TraceReport = {
	readonly question: TraceQuestion;
	readonly findings: TraceFindings;
	readonly scope: Scope | undefined;
	readonly around: readonly LogLine[];
	/** Lines around the request beyond the bound of what is kept. */
	readonly aroundLeftOut: number;
	readonly cause: Cause;
};

/** What both readings of the logs found. */
export type ReportOpts = {
	readonly findings: TraceFindings;
	readonly around: readonly LogLine[];
	readonly aroundLeftOut: number;
};

/** Draws the report up. */
export function createTraceReport(question: TraceQuestion, {findings, around, aroundLeftOut}: ReportOpts): TraceReport {
	return {
		question, findings, scope: deriveScope(findings, question), around, aroundLeftOut, cause: deriveCause(question, findings, around),
	};
}
