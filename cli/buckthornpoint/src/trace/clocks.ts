import type {LogLine} from './log-line.js';
import {getNumber, listAttempts} from './members.js';

/** Both timestamps are truncated to milliseconds, so smaller differences may come from that alone. */
const toleranceMs = 2;

/**
Returns notes on how far the order of the lines of several VMs can be trusted. The line of the owner's node must lie
between the arrival of the request and its end at the entry node. If its timestamp lies outside that interval, the clocks
differ by at least the distance to it.
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
