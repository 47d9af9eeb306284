import type {LogLine} from './log-line.js';
import {listOmitted} from './members.js';
import {omittedDelayMs} from './nearby-lines.js';
import type {VmSpan} from './trace-search.js';

/** Why the logs lack a line that a VM may have written. */
export type LineAbsence = {
	/** `none`: the log of the VM is complete at that time and has no such line. */
	readonly kind: 'omitted' | 'not-collected' | 'none';
	readonly text: string;
};

/** A missing line: the VM that would have written it, its approximate time and its possible events. */
export type ExpectedLine = {
	readonly vmId: string;
	readonly timeMs: number;
	readonly events: readonly string[];
};

/** Which logs were read, and their lines near the request in time. */
export type LogCoverage = {
	readonly spans: ReadonlyMap<string, VmSpan>;
	readonly around: readonly LogLine[];
};

/** Classifies why a line is missing: it was not collected, the log omitted it because of its rate limit, or it was never written. */
export function classifyMissingLine({vmId, timeMs, events}: ExpectedLine, {spans, around}: LogCoverage): LineAbsence {
	const span = spans.get(vmId);
	if (span === undefined) {
		return {kind: 'not-collected', text: `no line of ${vmId} was collected`};
	}

	if (timeMs < span.firstMs) {
		return {kind: 'not-collected', text: `the lines of ${vmId} begin at ${formatTime(span.firstMs)}, after the request`};
	}

	const omitted = around.find(line => line.event === 'log-omitted' && line.vmId === vmId && line.timeMs >= timeMs && line.timeMs <= timeMs + omittedDelayMs);
	const counts = omitted === undefined ? [] : listOmitted(omitted, events);
	if (omitted !== undefined && counts.length > 0) {
		return {kind: 'omitted', text: `the log's bound left out lines of ${vmId} before ${formatTime(omitted.timeMs)} (${counts.join(', ')})`};
	}

	return timeMs > span.lastMs
		? {kind: 'not-collected', text: `the lines of ${vmId} end at ${formatTime(span.lastMs)}, before the request`}
		: {kind: 'none', text: `${vmId} wrote no such line, and omitted none then`};
}

/** Formats a timestamp in the format of the logs. */
export function formatTime(timeMs: number): string {
	return new Date(timeMs).toISOString();
}
