import type {
	Counts, FleetReport, NodeReport, ServerLoad, ServiceReport,
} from './fleet-report.js';
import type {Sample} from './parse-metrics.js';
import type {NodeProblem, NodeReading} from './read-nodes.js';

const readyState = 'ready';

type Labelled = Pick<Sample, 'labels' | 'value'>;

/** Creates the report of all nodes that were read. */
export function createFleetReport(readings: readonly NodeReading[], unreadable: readonly NodeProblem[], unit: FleetReport['unit']): FleetReport {
	const samples = groupByName(readings.flatMap(reading => reading.samples));
	const nodes = sortNodes(readings.map(reading => createNodeReport(reading)));
	return {
		unit,
		isPartial: unreadable.length > 0,
		services: createServiceReports(nodes, samples),
		rejections: countByLabel(samples.get('buckthornpoint_rejections_total'), 'status'),
		accounts: [...groupByLabel(samples.get('buckthornpoint_account_requests_total'), 'account')].map(([account, counted]) => ({account, outcomes: countByLabel(counted, 'outcome')})),
		nodes,
		unreadable,
	};
}

function createNodeReport({address, samples}: NodeReading): NodeReport {
	const byName = groupByName(samples);
	const read = (name: string): number | undefined => byName.get(`buckthornpoint_${name}`)?.[0]?.value;
	const info = byName.get('buckthornpoint_server_info')?.[0]?.labels;
	const demand = read('demand');
	const limitPerS = read('limit_per_second');
	const isReady = info === undefined || info.state === readyState;
	return {
		address,
		vm: info?.vm,
		failureDomain: info?.failure_domain,
		service: info?.service,
		server: info?.server,
		state: info?.state,
		isReady,
		running: read('running'),
		waiting: read('waiting'),
		slots: read('slots'),
		demand,
		capacityPerS: read('capacity_per_second'),
		offeredPerS: read('offered_per_second'),
		// The node states -1 if there is no limit.
		limitPerS: limitPerS === undefined || limitPerS < 0 ? undefined : limitPerS,
		retryTimes: countByLabel(byName.get('buckthornpoint_sharing_events'), 'event'),
		freeShare: demand === undefined || !isReady ? undefined : Math.max(0, 1 - demand),
		isController: read('controller') === 1,
		routesVersion: read('routes_version'),
		bodyBytes: read('body_bytes'),
		bodyLimitBytes: read('body_limit_bytes'),
		bodyRefusals: read('body_refusals'),
		bodyEvictions: read('body_evictions'),
		closedConnections: read('caller_connections_closed'),
	};
}

/** Sorts by free capacity, the least first; nodes without a ready server come last. */
function sortNodes(nodes: readonly NodeReport[]): readonly NodeReport[] {
	return nodes.toSorted((left, right) => (left.freeShare ?? 2) - (right.freeShare ?? 2)
		|| (right.demand ?? 0) - (left.demand ?? 0)
		|| compareTexts(left.address, right.address));
}

function createServiceReports(nodes: readonly NodeReport[], samples: ReadonlyMap<string, readonly Sample[]>): readonly ServiceReport[] {
	const requests = groupByLabel(samples.get('buckthornpoint_requests_total'), 'service');
	const refusals = groupByLabel(samples.get('buckthornpoint_refusals_total'), 'service');
	const secondTries = groupByLabel(samples.get('buckthornpoint_second_tries_total'), 'service');
	const services = new Set([...nodes.map(({service}) => service ?? ''), ...requests.keys(), ...refusals.keys(), ...secondTries.keys()]);
	return [...services].toSorted(compareTexts).map(service => {
		const servers = nodes.filter(node => (node.service ?? '') === service);
		const ready = servers.filter(({isReady}) => isReady);
		return {
			service: service === '' ? undefined : service,
			servers: servers.length,
			readyServers: ready.length,
			limitedServers: ready.filter(({limitPerS}) => limitPerS !== undefined).length,
			...mergeLoads(servers, ready),
			requests: countByLabel(requests.get(service), 'outcome'),
			refusals: listRefusals(refusals.get(service) ?? []),
			secondTries: countByLabel(secondTries.get(service), 'event'),
		};
	});
}

/** Merges the loads of servers, with the capacity of those that take requests: a server that leaves has no room for others. */
function mergeLoads(loads: readonly ServerLoad[], ready: readonly ServerLoad[]): ServerLoad {
	const capacityPerS = addKnown(ready.map(load => load.capacityPerS));
	const offeredPerS = addKnown(ready.map(load => load.offeredPerS));
	const demands = ready.flatMap(({demand}) => demand ?? []);
	const meanDemand = demands.length === 0 ? undefined : addAll(demands) / demands.length;
	return {
		running: addKnown(loads.map(({running}) => running)),
		waiting: addKnown(loads.map(({waiting}) => waiting)),
		slots: addKnown(ready.map(({slots}) => slots)),
		// Weighted by capacity where all nodes state it: a small server that is full must not count as much as a large one.
		demand: capacityPerS === undefined || offeredPerS === undefined || capacityPerS === 0 ? meanDemand : offeredPerS / capacityPerS,
		capacityPerS,
		offeredPerS,
		limitPerS: ready.some(({limitPerS}) => limitPerS !== undefined) ? addAll(ready.flatMap(({limitPerS}) => limitPerS ?? [])) : undefined,
		retryTimes: mergeCounts(loads.map(({retryTimes}) => retryTimes)),
	};
}

function listRefusals(samples: readonly Labelled[]): ServiceReport['refusals'] {
	const counted = [...groupByLabel(samples, 'reason')].flatMap(([reason, ofReason]) =>
		Object.entries(countByLabel(ofReason, 'priority')).map(([priority, count]) => ({reason, priority, count})));
	return counted.toSorted((left, right) => right.count - left.count || compareTexts(left.reason + left.priority, right.reason + right.priority));
}

/** Adds the values; undefined if one is not known, or there is none. */
function addKnown(values: ReadonlyArray<number | undefined>): number | undefined {
	const known = values.flatMap(value => value ?? []);
	return known.length === 0 || known.length < values.length ? undefined : addAll(known);
}

function addAll(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}

function countByLabel(samples: readonly Labelled[] | undefined, label: string): Counts {
	return Object.fromEntries([...groupByLabel(samples, label)].map(([name, group]) => [name, addAll(group.map(({value}) => value))]));
}

function mergeCounts(counts: readonly Counts[]): Counts {
	return countByLabel(counts.flatMap(part => Object.entries(part).map(([name, value]) => ({labels: {name}, value}))), 'name');
}

function groupByName(samples: readonly Sample[]): ReadonlyMap<string, readonly Sample[]> {
	return groupBy(samples, ({name}) => name);
}

function groupByLabel(samples: readonly Labelled[] | undefined, label: string): ReadonlyMap<string, readonly Labelled[]> {
	const groups = groupBy(samples ?? [], ({labels}) => labels[label] ?? '');
	return new Map([...groups].toSorted(([left], [right]) => compareTexts(left, right)));
}

function groupBy<T>(items: readonly T[], getName: (item: T) => string): ReadonlyMap<string, readonly T[]> {
	const groups = new Map<string, T[]>();
	for (const item of items) {
		const group = groups.get(getName(item));
		if (group === undefined) {
			groups.set(getName(item), [item]);
		} else {
			group.push(item);
		}
	}

	return groups;
}

function compareTexts(left: string, right: string): number {
	return left < right ? -1 : (left > right ? 1 : 0);
}
