import type {LogLine} from './log-line.js';
import {getNumber, listAttempts} from './members.js';

/** Differences up to this are ignored: both timestamps are truncated to milliseconds. */
const toleranceMs = 2;

/**
Returns notes on clock differences between VMs, which may change the order of lines. The owner's node writes its line between
the arrival of the request at the entry node and the end of the request there. If the timestamp of that line is outside this
interval, the clocks differ by at least its distance from the interval.
*/
export function checkClocks(lines: readonly LogLine[], entry: LogLine | undefined): readonly string[] {
	const vmIds = new Set(lines.map(({vmId}) => vmId));
	if (vmIds.size < 2) {
		return [];
	}

	const differences = entry === undefined ? [] : lines.flatMap(line => reportDifference(line, entry));
	return ['each line has the time of its own VM\'s clock; lines of two VMs closer together than their clocks differ may be in the wrong order', ...differences];
}

function reportDifference(line: LogLine, entry: LogLine): readonly string[] {
	const isTried = listAttempts(entry).some(({vmId}) => vmId === line.vmId);
	if (!line.event.startsWith('owner-') || line.data.requestId !== entry.data.requestId || !isTried || line.vmId === entry.vmId) {
		return [];
	}

	const arrivalMs = entry.timeMs - (getNumber(entry, 'tookMs') ?? 0);
	const behindMs = arrivalMs - line.timeMs;
	const aheadMs = line.timeMs - entry.timeMs;
	if (behindMs > toleranceMs) {
		return [`the clock of ${line.vmId} is at least ${Math.round(behindMs)} ms behind that of ${entry.vmId}: its line came after the arrival there`];
	}

	return aheadMs > toleranceMs ? [`the clock of ${line.vmId} is at least ${Math.round(aheadMs)} ms ahead of that of ${entry.vmId}: its line came before the end there`] : [];
}
