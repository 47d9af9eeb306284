import type {Sample} from './parse-metrics.js';
import type {NodeReading} from './read-nodes.js';

/** Gauges that count since the start of the node. Their names have no `_total`, since the node does not count them itself. */
const countingGauges = new Set(['buckthornpoint_sharing_events', 'buckthornpoint_body_refusals', 'buckthornpoint_body_evictions', 'buckthornpoint_caller_connections_closed']);

const millisecondsPerSecond = 1000;

/**
 * Replaces the values that count since the start of the node by rates per second between two readings. A value below the
 * earlier one shows that the node was restarted in between; its rate is derived from the count since the restart.
 */
export function deriveRates(earlier: NodeReading, later: NodeReading): NodeReading {
	const seconds = Math.max(1, later.readMs - earlier.readMs) / millisecondsPerSecond;
	const earlierValues = new Map(earlier.samples.map(sample => [formatSeries(sample), sample.value]));
	const samples = later.samples.map(sample => {
		if (!isCounting(sample)) {
			return sample;
		}

		const before = earlierValues.get(formatSeries(sample)) ?? 0;
		return {...sample, value: (sample.value < before ? sample.value : sample.value - before) / seconds};
	});
	return {...later, samples};
}

function isCounting({name}: Sample): boolean {
	return name.endsWith('_total') || countingGauges.has(name);
}

function formatSeries({name, labels}: Sample): string {
	return JSON.stringify([name, ...Object.entries(labels).toSorted(([left], [right]) => left < right ? -1 : 1)]);
}
