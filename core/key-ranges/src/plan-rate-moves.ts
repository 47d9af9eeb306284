import type {BackendView, PlannedMove, ServiceView} from './controller-state.js';
import {keyCount, type KeyRange} from './key-ranges.js';
import {RangeIndex} from './range-index.js';
import {deriveStripeSize, type RangeMap, type Segment} from './range-map.js';

/** Below this share of its rate, a server answers all requests in time, also while it is slow for some hundred milliseconds. */
const losslessShare = 0.7;

/** Time over which the gain of a move is counted: spans of busy keys last for 4 to 5 s, while servers stay uneven for longer. */
const horizonS = 15;

/** Mean time without service of a key that moves: half of the usual heartbeat interval. */
const interruptionS = 0.45;

/** Price of moving a key, in requests. */
const pricePerKey = 0.005;

/** Least gain of a move, in requests. Smaller effects are not worth a further range. */
const minGain = 0.1;

/** Time that the measured rates cover: windows of 500 ms, the newest with half of the weight. It determines the deviation of a count. */
const measuredS = 1.5;

/** Part of that deviation by which a load must exceed its bound. A larger part would relieve uneven servers later. */
const deviationWeight = 0.3;

/** Limit of moves from one server in one round: bounds the effect of a false report. */
const maxMovesPerServer = 48;

/** A heartbeat reply has space for about 190 ranges. */
const maxRangesPerServer = 170;

/** From this mean number of ranges per server on, small ranges that are no longer busy are joined, so that later busy spans can be split. */
const minRangesToJoin = 95;

/** Least number of adjacent ranges that are joined. */
const minJoinedRanges = 3;

/** Limit of joined ranges in one round: bounds the keys that are moved. */
const maxJoinsPerRound = 24;

/** A reported rate counts as at most this many times, and at least this part of, the median per slot: bounds the effect of a false report. */
const maxRateRatio = 3;

/** Per slot, if no server has reported its rate. */
const assumedRatePerSlot = 20;

/** A server with the load that it is planned to have. */
type PlannedServer = {
	readonly key: string;
	/** Requests per second that it can serve. */
	readonly ratePerS: number;
	/** Allowance for the deviation of its measured load. */
	readonly deviationPerS: number;
	loadPerS: number;
	ranges: number;
};

type Part = KeyRange & {
	readonly perS: number;
	/** Whether it is a whole range of the map, which its owner has less after the move. */
	readonly isWhole: boolean;
};

/**
 * Derives the rate of each server: the reported one within bounds, otherwise the median per slot of those that report one. If
 * none does, for example since all nodes are of an earlier version, their reported capacity counts as their rate.
 */
export function deriveRates(backends: readonly BackendView[]): ReadonlyMap<string, number> {
	const hasRates = backends.some(({ratePerS}) => ratePerS !== undefined);
	const readRate = ({ratePerS, capacityPerS}: BackendView): number | undefined => hasRates ? ratePerS : capacityPerS;
	const perSlot = backends.flatMap(backend => {
		const rate = readRate(backend);
		return rate === undefined ? [] : [rate / Math.max(1, backend.slots)];
	}).toSorted((left, right) => left - right);
	const median = perSlot[Math.floor(perSlot.length / 2)] ?? assumedRatePerSlot;
	return new Map(backends.map(backend => {
		const usual = median * Math.max(1, backend.slots);
		return [backend.key, Math.min(usual * maxRateRatio, Math.max(usual / maxRateRatio, readRate(backend) ?? usual))];
	}));
}

/** Estimates the mean rate of requests to a key. */
export function estimateMeanPerKey(backends: readonly BackendView[]): number {
	return Math.max(1, backends.reduce((sum, {requestsPerSecond}) => sum + requestsPerSecond, 0)) / keyCount;
}

/** Derives the rate of requests to each range. A range of which no part is reported is assumed to have the mean rate of all keys. */
export function createLoadEstimate({backends}: ServiceView): (range: KeyRange) => number {
	const perKey = estimateMeanPerKey(backends);
	const parts = backends.flatMap(({rangeLoads}) => rangeLoads).toSorted((left, right) => left.from - right.from);
	return ({from, to}) => ((to - from + 1) * perKey) + parts
		.filter(part => part.from >= from && part.to <= to)
		.reduce((sum, {perS}) => sum + perS, 0);
}

/**
 * Plans moves that lower the rate of lost and late requests of the service by more than they cost. It handles servers of
 * different speeds, and spans of neighbouring keys that get a large share of all requests for a few seconds.
 */
export function planRateMoves(view: ServiceView, nowMs: number): readonly PlannedMove[] {
	const backends = view.backends.filter(({isEligible}) => isEligible);
	const rates = deriveRates(backends);
	const segmentsByOwner = groupByOwner(view.map.segments);
	const servers = new Map(backends.map(({key, requestsPerSecond}): [string, PlannedServer] => [key, {
		key,
		ratePerS: rates.get(key)!,
		deviationPerS: deviationWeight * Math.sqrt(requestsPerSecond / measuredS),
		loadPerS: requestsPerSecond,
		ranges: segmentsByOwner.get(key)?.length ?? 0,
	}]));
	const targets = backends.filter(({isCold}) => !isCold).map(({key}) => servers.get(key)!);
	const sources = backends
		.filter(({key}) => measureOverload(servers.get(key)!) > 0)
		.toSorted((left, right) => measureOverload(servers.get(right.key)!) - measureOverload(servers.get(left.key)!));
	const moves = sources.flatMap(source => chooseMoves(servers.get(source.key)!, listParts(source, segmentsByOwner.get(source.key) ?? []), targets)
		.map(({from, to, target}) => ({
			service: view.map.service, from, to, owner: source.key, target, startedMs: nowMs,
		})));
	return [...moves, ...planJoins(view, new RangeIndex([...moves, ...backends.flatMap(({rangeLoads}) => rangeLoads)]), targets).map(join => ({...join, startedMs: nowMs}))];
}

/** Plans to join adjacent small ranges without reported load: all of them move to one server that owns none of them, and get the same fence there. */
function planJoins({map, backends}: ServiceView, busy: RangeIndex, targets: readonly PlannedServer[]): ReadonlyArray<Omit<PlannedMove, 'startedMs'>> {
	if (map.segments.length < minRangesToJoin * targets.length) {
		return [];
	}

	const reporting = new Set(backends.map(({key}) => key));
	return listJoinableRuns(map, busy, reporting).slice(0, maxJoinsPerRound).flatMap(run => {
		const owners = new Set(run.map(({owner}) => owner));
		const target = chooseTarget(0, targets.filter(({key, ranges}) => !owners.has(key) && ranges < maxRangesPerServer));
		if (target === undefined) {
			return [];
		}

		target.ranges++;
		return run.map(({from, to, owner}) => ({
			service: map.service, from, to, owner: owner!, target: target.key,
		}));
	});
}

/** Lists runs of adjacent segments that together are not larger than a stripe; those of most segments first. */
function listJoinableRuns({segments, vmIdByOwner}: RangeMap, busy: RangeIndex, reporting: ReadonlySet<string>): ReadonlyArray<readonly Segment[]> {
	const maxKeys = deriveStripeSize(vmIdByOwner.size);
	const runs: Segment[][] = [[]];
	for (const segment of segments) {
		const run = runs.at(-1)!;
		const canMove = segment.owner !== undefined && reporting.has(segment.owner) && !busy.hasOverlap(segment);
		if (canMove && segment.to - (run[0]?.from ?? segment.from) < maxKeys) {
			run.push(segment);
		} else {
			runs.push(canMove ? [segment] : []);
		}
	}

	return runs.filter(({length}) => length >= minJoinedRanges).toSorted((left, right) => right.length - left.length);
}

/** Chooses the moves from one server, and updates the planned loads. */
function chooseMoves(source: PlannedServer, parts: readonly Part[], targets: readonly PlannedServer[]): ReadonlyArray<KeyRange & {readonly target: string}> {
	const moves: Array<KeyRange & {readonly target: string}> = [];
	for (const {from, to, perS, isWhole} of parts) {
		const maySplit = isWhole || source.ranges < maxRangesPerServer;
		const cost = (perS * interruptionS) + ((to - from + 1) * pricePerKey) + minGain;
		const saved = measureLoss(source, -source.deviationPerS) - measureLoss(source, -source.deviationPerS - perS);
		if (moves.length < maxMovesPerServer && maySplit && saved * horizonS > cost) {
			const target = chooseTarget(perS, targets.filter(({key, ranges}) => key !== source.key && ranges < maxRangesPerServer));
			if (target !== undefined && (saved - measureAddedLoss(target, perS)) * horizonS > cost) {
				source.loadPerS -= perS;
				source.ranges += isWhole ? -1 : 1;
				target.loadPerS += perS;
				target.ranges++;
				moves.push({from, to, target: target.key});
			}
		}
	}

	return moves;
}

/** Chooses the server on which the fewest requests are lost if its load rises by `perS`; among equals the least loaded one. */
function chooseTarget(perS: number, targets: readonly PlannedServer[]): PlannedServer | undefined {
	let best: PlannedServer | undefined;
	let bestRank = Number.POSITIVE_INFINITY;
	for (const target of targets) {
		const rank = measureAddedLoss(target, perS) + ((target.loadPerS + perS) / target.ratePerS * 0.01);
		if (rank < bestRank) {
			best = target;
			bestRank = rank;
		}
	}

	return best;
}

function measureAddedLoss(target: PlannedServer, perS: number): number {
	return measureLoss(target, target.deviationPerS + perS) - measureLoss(target, target.deviationPerS);
}

function measureOverload({loadPerS, deviationPerS, ratePerS}: PlannedServer): number {
	return ((loadPerS - deviationPerS) / ratePerS) - losslessShare;
}

/** Estimates the requests per second that a server loses or answers late: rises slowly from `losslessShare` of its rate on, by one for each request above its rate. */
function measureLoss({loadPerS, ratePerS}: PlannedServer, addedPerS: number): number {
	const share = Math.max(0, ((loadPerS + addedPerS) / ratePerS) - losslessShare);
	const width = 1 - losslessShare;
	return ratePerS * (share <= width ? share * share / (2 * width) : share - (width / 2));
}

/** Lists the parts of a server's ranges that may move, the busiest first: the reported ones, and the others with their mean rate. */
function listParts({rangeLoads, requestsPerSecond}: BackendView, segments: readonly Segment[]): readonly Part[] {
	const owned = new RangeIndex(segments);
	const reported = rangeLoads.filter(load => owned.hasOverlap(load)).toSorted((left, right) => right.perS - left.perS);
	const index = new RangeIndex(reported);
	const unreported = segments.filter(segment => !index.hasOverlap(segment));
	const restPerS = Math.max(0, requestsPerSecond - rangeLoads.reduce((sum, {perS}) => sum + perS, 0)) / Math.max(1, unreported.length);
	const endOfRange = new Map(segments.map(({from, to}) => [from, to]));
	return [
		...reported.map(({from, to, perS}) => ({
			from, to, perS, isWhole: endOfRange.get(from) === to,
		})),
		...unreported.map(({from, to}) => ({
			from, to, perS: restPerS, isWhole: true,
		})),
	];
}

function groupByOwner(segments: readonly Segment[]): ReadonlyMap<string, readonly Segment[]> {
	const groups = new Map<string, Segment[]>();
	for (const segment of segments) {
		if (segment.owner !== undefined) {
			const group = groups.get(segment.owner) ?? [];
			group.push(segment);
			groups.set(segment.owner, group);
		}
	}

	return groups;
}
