import type {LogLine} from '../trace/log-line.js';
import {formatTime} from '../trace/missing-line.js';
import type {TraceReport} from '../trace/trace-report.js';

const shownMembers: ReadonlySet<string> = new Set(['time', 'level', 'event']);
const writerWidth = 24;
const timeWidth = 24;

/** Formats a report for people: the lines of the request, other lines near it in time, how much was read, and last the cause. */
export function formatTrace(report: TraceReport): string {
	const {query, findings, scope, around, aroundLeftOut, cause} = report;
	const vmIds = new Set(findings.lines.map(({vmId}) => vmId));
	return [
		`request ${query.requestId}, lines: ${findings.lines.length + findings.linesLeftOut}, VMs: ${vmIds.size}`,
		...findings.lines.map(line => formatLine(line)),
		...formatLeftOut(findings.linesLeftOut),
		...scope === undefined ? [] : [`around it, ${formatTime(scope.fromMs)} to ${formatTime(scope.toMs)}, ${[...scope.vmIds].join(', ') || 'all VMs'}:`],
		...around.map(line => formatLine(line)),
		...formatLeftOut(aroundLeftOut),
		`read ${findings.readLines} lines of ${findings.spans.size} VMs; ${findings.unreadableLines} could not be read`,
		...cause.notes.map(note => `note: ${note}`),
		`cause (${cause.kind}): ${cause.text}`,
	].join('\n');
}

/** Converts a report to the document that `--json` prints. */
export function toTraceDocument({query, findings, scope, around, aroundLeftOut, cause}: TraceReport): unknown {
	return {
		requestId: query.requestId,
		cause: {...cause, evidence: cause.evidence.map(line => toDocumentLine(line))},
		lines: findings.lines.map(line => toDocumentLine(line)),
		linesLeftOut: findings.linesLeftOut,
		around: around.map(line => toDocumentLine(line)),
		aroundLeftOut,
		...scope === undefined ? {} : {from: formatTime(scope.fromMs), to: formatTime(scope.toMs), vmIds: [...scope.vmIds]},
		readLines: findings.readLines,
		unreadableLines: findings.unreadableLines,
	};
}

/** Adds the VM that wrote the line as `writer`, since `vmId` in a `peer-failed` line names the other node. */
function toDocumentLine({vmId, data}: LogLine): unknown {
	return {writer: vmId, line: data};
}

function formatLeftOut(count: number): readonly string[] {
	return count === 0 ? [] : [`  ${count} more lines were left out`];
}

function formatLine({timeMs, vmId, event, data}: LogLine): string {
	const members = Object.entries(data).filter(([name, value]) => !shownMembers.has(name) && value !== vmId);
	const facts = members.map(([name, value]) => `${name}=${formatValue(value)}`).join(' ');
	return `  ${formatTime(timeMs).padEnd(timeWidth)}  ${(vmId ?? '?').padEnd(writerWidth)}  ${event} ${facts}`.trimEnd();
}

function formatValue(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value);
}
