import type {LogLine} from './log-line.js';
import {listOmitted} from './members.js';
import {omittedDelayMs} from './nearby-lines.js';
import type {VmSpan} from './trace-search.js';

/** Why a line that a VM may have written is not there. */
export type MissingLine = {
	/** `none`: the log of the VM is whole there and has no such line. */
	readonly kind: 'omitted' | 'not-collected' | 'none';
	readonly text: string;
};

/** Which line is missed. */
export type MissedLine = {
	readonly vmId: string;
	readonly timeMs: number;
	readonly events: readonly string[];
};

/** What is known of the logs around a request. */
export type LogCoverage = {
	readonly spans: ReadonlyMap<string, VmSpan>;
	readonly around: readonly LogLine[];
};

/** Judges why a line is missing: nobody collected it, the log's bound left it out, or there was none. */
export function judgeMissing({vmId, timeMs, events}: MissedLine, {spans, around}: LogCoverage): MissingLine {
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

/** Formats a moment as the logs do. */
export function formatTime(timeMs: number): string {
	return new Date(timeMs).toISOString();
}
