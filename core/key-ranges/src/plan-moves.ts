import type {BackendView, PlannedMove, ServiceView} from './controller-state.js';
import {keyCount, type BackendInstanceKey, type KeyRange} from './key-ranges.js';
import {
	createLoadEstimate, deriveRates, estimateMeanPerKey, planRateMoves,
} from './plan-rate-moves.js';
import {RangeIndex} from './range-index.js';
import type {OwnerChange, RangeMap, Segment} from './range-map.js';
import {TargetQueue} from './target-queue.js';

/** Limit of moves per relieved server and round; each move interrupts service of its keys for up to one heartbeat interval. */
const maxMovesPerServer = 24;

/** The same limit for an overloaded server, which refuses many requests for these keys anyway. */
const maxMovesPerOverloadedServer = 48;

/**
 * Load is moved away from a server whose demand exceeds this share of its capacity. Servers differ in speed, and each runs
 * several times slower for short periods: a server at half load has no headroom for that.
 */
const minReliefDemand = 0.4;

/** Load is moved only if the demand of the two servers differs by at least this share of capacity. */
const minDemandDifference = 0.15;

/** Servers above this demand refuse requests. All of them are relieved in one round, as far as there are servers below it. */
const overloadDemand = 1;

/** One of this many servers is relieved of load per round. If only one server were relieved per round, overloaded servers in a large service would wait too long. */
const serversPerRelief = 5;

/** After a move, the load is evaluated again once the measurements reflect it: four measurement intervals of 500 ms. */
const loadSettlingMs = 2000;

/** The same where moves are planned by rate: all servers are relieved in one round, so a hot span of 4 s is only relieved if the next round comes early. */
const rateSettlingMs = 1000;

/** A newcomer, which owns less than a tenth of a fair share of the keys, receives keys until it owns this part of a fair share. */
const newcomerShare = 0.6;

/** Golden ratio minus 1: repeated steps of this part of an interval, modulo its length, cover the interval evenly. */
const goldenRatioPart = 0.618;

/** In a map with at least this many segments, no range is split to move half of its load: the map must fit into a row of the store. */
const maxSegmentsForSplit = 10_000;

/** Mean number of ranges per server above which adjacent ranges stay together: a heartbeat reply has space for about 190. */
const maxRangesPerBackend = 150;

/** A reported range below this share of its owner's load is not moved: the effect would be too small. */
const minLoadShare = 0.02;

/**
 * Assigns ranges without an owner to eligible servers: adjacent ranges to different servers, unless so few servers are
 * left that each would own more ranges than fit into a heartbeat reply; then adjacent ranges stay together.
 */
export function assignUnownedRanges(view: ServiceView, unowned: readonly Segment[]): readonly OwnerChange[] {
	const targets = view.backends.filter(({isEligible}) => isEligible);
	if (targets.length === 0) {
		return [];
	}

	const keys = countKeys(view);
	const warm = targets.filter(({isCold}) => !isCold);
	const candidates = warm.length * 2 >= targets.length ? warm : targets;
	const shares = view.balance === 'by-rate' ? createRateShares(view, keys) : createKeyShares(keys);
	const queue = new TargetQueue(candidates, candidate => shares.rank(candidate));
	const mustGroupAdjacent = view.map.segments.length / candidates.length > maxRangesPerBackend;
	return (mustGroupAdjacent ? groupAdjacent(unowned) : unowned.map(range => [range])).flatMap(group => {
		const target = queue.assign(({key}) => {
			shares.record(key, group);
		});
		return target === undefined
			? []
			: group.map(({from, to}) => ({
				from, to, owner: target.key, vmId: target.vmId,
			}));
	});
}

/** Divides the ranges of a first map by rate. The servers of a service whose map was lost may have reported one; otherwise the number of their slots counts. */
export function assignFirstShares(view: ServiceView): RangeMap {
	const {map} = view;
	if (view.balance !== 'by-rate') {
		return map;
	}

	const segments = map.segments.map(segment => ({...segment, owner: undefined}));
	const ownerOf = new Map(assignUnownedRanges({...view, map: {...map, segments}}, segments).map(({from, owner}) => [from, owner]));
	return {...map, segments: map.segments.map(segment => ({...segment, owner: ownerOf.get(segment.from) ?? segment.owner}))};
}

/** What each server has during an assignment, for ranking the servers. */
type Shares = {
	readonly rank: (candidate: BackendView) => number;
	readonly record: (key: BackendInstanceKey, ranges: readonly KeyRange[]) => void;
};

function createKeyShares(keys: Map<BackendInstanceKey, number>): Shares {
	return {
		rank: candidate => rankTarget(candidate, keys),
		record(key, ranges) {
			keys.set(key, (keys.get(key) ?? 0) + ranges.reduce((sum, {from, to}) => sum + to - from + 1, 0));
		},
	};
}

/** Ranks servers by their load as a share of their rate. The load of a server that got keys since its last report is estimated from their number. */
function createRateShares(view: ServiceView, keys: ReadonlyMap<BackendInstanceKey, number>): Shares {
	const rates = deriveRates(view.backends);
	const estimateLoad = createLoadEstimate(view);
	const perKey = estimateMeanPerKey(view.backends);
	const loads = new Map(view.backends.map(({key, requestsPerSecond}) => [key, Math.max(requestsPerSecond, (keys.get(key) ?? 0) * perKey)]));
	return {
		rank: ({key}) => (loads.get(key) ?? 0) / rates.get(key)!,
		record(key, ranges) {
			loads.set(key, (loads.get(key) ?? 0) + ranges.reduce((sum, range) => sum + estimateLoad(range), 0));
		},
	};
}

function groupAdjacent(segments: readonly Segment[]): ReadonlyArray<readonly Segment[]> {
	const groups: Segment[][] = [];
	for (const segment of segments.toSorted((left, right) => left.from - right.from)) {
		const last = groups.at(-1);
		if (last?.at(-1)?.to === segment.from - 1) {
			last.push(segment);
		} else {
			groups.push([segment]);
		}
	}

	return groups;
}

/** Plans which ranges live owners should release, and to which servers. */
export function planMoves(view: ServiceView, nowMs: number): readonly PlannedMove[] {
	const drainMoves = planDrainMoves(view, nowMs);
	if (drainMoves.length > 0) {
		return drainMoves;
	}

	if (view.moves.length > 0) {
		return [];
	}

	const newcomerMoves = planNewcomerMoves(view, nowMs);
	const isByRate = view.balance === 'by-rate';
	if (newcomerMoves.length > 0 || nowMs - view.lastMoveMs < (isByRate ? rateSettlingMs : loadSettlingMs)) {
		return newcomerMoves;
	}

	return isByRate ? planRateMoves(view, nowMs) : planReliefMoves(view, nowMs);
}

function rankTarget({key, demand, slots}: BackendView, keys: ReadonlyMap<string, number>): number {
	return (((keys.get(key) ?? 0) / keyCount) + (demand * 0.1)) / Math.max(1, slots);
}

function countKeys({map}: ServiceView): Map<string, number> {
	const counts = new Map<string, number>();
	for (const {owner, from, to} of map.segments) {
		if (owner !== undefined) {
			counts.set(owner, (counts.get(owner) ?? 0) + to - from + 1);
		}
	}

	return counts;
}

/** Plans to move all ranges of draining servers in one round, because these servers soon stop serving. */
function planDrainMoves(view: ServiceView, nowMs: number): readonly PlannedMove[] {
	const draining = new Set(view.backends.filter(({mustDrain}) => mustDrain).map(({key}) => key));
	if (draining.size === 0) {
		return [];
	}

	const movingRanges = new RangeIndex(view.moves);
	const segments = view.map.segments.filter(segment => segment.owner !== undefined && draining.has(segment.owner) && !movingRanges.hasOverlap(segment));
	const ownerOf = new Map(segments.map(({from, owner}) => [from, owner!]));
	return assignUnownedRanges(view, segments).map(({from, to, owner: target}) => ({
		service: view.map.service, from, to, owner: ownerOf.get(from)!, target, startedMs: nowMs,
	}));
}

/** Plans to give part of a fair share to each newcomer. The ranges come from all over the key space, so that adjacent ranges still belong to different servers. */
function planNewcomerMoves(view: ServiceView, nowMs: number): readonly PlannedMove[] {
	const keys = countKeys(view);
	const targets = view.backends.filter(({isEligible, isCold}) => isEligible && !isCold);
	const fairShare = keyCount / Math.max(1, targets.length);
	const newcomers = targets.filter(({key}) => (keys.get(key) ?? 0) < fairShare * 0.1);
	if (newcomers.length === 0 || targets.length < 2) {
		return [];
	}

	// An owner without heartbeats releases nothing; its keys are reassigned when its lease has ended.
	const reporting = new Set(view.backends.map(({key}) => key));
	const wanted = newcomers.reduce((sum, {key}) => sum + Math.max(0, (fairShare * newcomerShare) - (keys.get(key) ?? 0)), 0);
	const moves: PlannedMove[] = [];
	let planned = 0;
	const queue = new TargetQueue(newcomers, ({key}) => keys.get(key) ?? 0);
	for (const {owner, from, to} of sortInterleaved(view.map.segments, Math.ceil(keyCount / wanted))) {
		const owned = owner === undefined ? 0 : keys.get(owner) ?? 0;
		const size = to - from + 1;
		const canRelease = owner !== undefined && reporting.has(owner) && newcomers.every(({key}) => key !== owner) && owned - size >= fairShare * (1 - (newcomerShare / targets.length));
		if (canRelease && planned < wanted) {
			planned += size;
			keys.set(owner, owned - size);
			const target = queue.assign(({key}) => {
				keys.set(key, (keys.get(key) ?? 0) + size);
			});
			moves.push({
				service: view.map.service, from, to, owner, target: target!.key, startedMs: nowMs,
			});
		}
	}

	return moves;
}

/** Lists every `stride`-th segment, then those at another offset, and so on, so that adjacent segments are far apart in the list. */
function sortInterleaved(segments: readonly Segment[], stride: number): readonly Segment[] {
	const step = Math.max(1, Math.round(stride * goldenRatioPart));
	return segments
		.map((segment, index) => ({segment, pass: (index % stride) * step % stride, index}))
		.toSorted((left, right) => left.pass - right.pass || left.index - right.index)
		.map(({segment}) => segment);
}

/**
 * Plans to move load from each of the busiest servers to one of the least busy. Servers differ in speed and the request
 * rates of keys change: without these moves an overloaded server refuses requests while others have free capacity.
 */
function planReliefMoves(view: ServiceView, nowMs: number): readonly PlannedMove[] {
	const targets = view.backends.filter(({isEligible, isCold}) => isEligible && !isCold).toSorted((left, right) => right.demand - left.demand);
	const pairs = Math.max(1, Math.floor(targets.length / serversPerRelief));
	return targets.slice(0, Math.floor(targets.length / 2)).flatMap((busy, index) => {
		const idle = targets.at(-1 - index)!;
		const isRelieved = index < pairs || isOverloadRelief(busy, idle);
		return !isRelieved || busy.demand < minReliefDemand || busy.demand - idle.demand < minDemandDifference
			? []
			: chooseRanges(busy, idle, view.map.segments).map(({from, to}) => ({
				service: view.map.service, from, to, owner: busy.key, target: idle.key, startedMs: nowMs,
			}));
	});
}

/** Whether a move serves more requests at once: between two overloaded servers it only changes whose are refused. */
function isOverloadRelief(busy: BackendView, idle: BackendView): boolean {
	return busy.demand > overloadDemand && idle.demand < overloadDemand;
}

/**
 * Chooses ranges of the busy server with as much load as makes both servers equally busy: the busiest first, since they move the most load
 * with the fewest keys, then some of those whose load is too low to be reported.
 */
function chooseRanges(busy: BackendView, idle: BackendView, segments: readonly Segment[]): readonly KeyRange[] {
	const maxMoves = isOverloadRelief(busy, idle) ? maxMovesPerOverloadedServer : maxMovesPerServer;
	const wanted = busy.requestsPerSecond * (busy.demand - idle.demand) / busy.demand * deriveMovedShare(busy, idle);
	const chosen: KeyRange[] = [];
	let moved = 0;
	for (const load of busy.rangeLoads.toSorted((left, right) => right.perS - left.perS)) {
		const part = chooseSubrange(load, wanted - moved, segments.length < maxSegmentsForSplit);
		if (part !== undefined && chosen.length < maxMoves && load.perS >= busy.requestsPerSecond * minLoadShare) {
			moved += part.perS;
			chosen.push(part);
		}
	}

	const reported = new RangeIndex(busy.rangeLoads);
	const unreported = segments.filter(segment => segment.owner === busy.key && !reported.hasOverlap(segment));
	const unreportedRatePerRange = Math.max(0, busy.requestsPerSecond - busy.rangeLoads.reduce((sum, {perS}) => sum + perS, 0)) / Math.max(1, unreported.length);
	const count = unreportedRatePerRange === 0 ? 0 : Math.min(maxMoves - chosen.length, Math.floor((wanted - moved) / unreportedRatePerRange));
	return [...chosen, ...sortInterleaved(unreported, Math.max(1, Math.floor(unreported.length / Math.max(1, count)))).slice(0, Math.max(0, count))];
}

/** Derives the share of the difference in load that has to move: half of it between equal servers, less to one that can serve less. */
function deriveMovedShare({capacityPerS: busyPerS}: BackendView, {capacityPerS: idlePerS}: BackendView): number {
	return busyPerS === undefined || idlePerS === undefined || busyPerS + idlePerS <= 0 ? 1 / 2 : idlePerS / (busyPerS + idlePerS);
}

/** Returns the whole range if its load does not exceed `wanted`, otherwise half of it if that fits and the range can be split. */
function chooseSubrange(load: KeyRange & {readonly perS: number; readonly middleKey: number}, wanted: number, maySplit: boolean): (KeyRange & {readonly perS: number}) | undefined {
	if (load.perS <= wanted) {
		return load;
	}

	const canSplit = maySplit && load.middleKey > load.from && load.middleKey <= load.to;
	return load.perS / 2 <= wanted && canSplit ? {from: load.middleKey, to: load.to, perS: load.perS / 2} : undefined;
}
