import type {BackendView, PlannedMove, ServiceView} from './controller-state.js';
import {keyCount, type KeyRange} from './key-ranges.js';
import type {OwnerChange, Segment} from './range-map.js';

/** The most moves of one service under way; each costs its keys up to one heartbeat of service. */
const maxMoves = 12;

/**
 * Moves for load begin when the busiest server is offered more than this share of its slots. Servers differ in speed,
 * and each turns several times slower for moments: one that is half full has no room for such a moment.
 */
const busyDemand = 0.4;

/** And when it is this much busier than the least busy one, as a share of slots. */
const minDifference = 0.15;

/** After a move, load is looked at again when the counts show its effect: four spans of half a second, in milliseconds. */
const settleMs = 2000;

/** A newcomer gets keys until it has this part of a fair share. */
const newcomerPart = 0.6;

/** A range whose share of its owner's load is below this does not relieve anybody. */
const minLoadShare = 0.02;

/** Deals ranges without a holder to the servers that may take them. */
export function assignOrphans(view: ServiceView, orphans: readonly Segment[]): readonly OwnerChange[] {
	const targets = view.backends.filter(({isEligible}) => isEligible);
	if (targets.length === 0) {
		return [];
	}

	const keys = countKeys(view);
	const warm = targets.filter(({isCold}) => !isCold);
	const choice = warm.length * 2 >= targets.length ? warm : targets;
	return orphans.map(({from, to}) => {
		const target = findLowest(choice, candidate => rankTarget(candidate, keys));
		keys.set(target.key, (keys.get(target.key) ?? 0) + to - from + 1);
		return {
			from, to, owner: target.key, vmId: target.vmId,
		};
	});
}

/** Plans which ranges their living owners should give up, and to whom. */
export function planMoves(view: ServiceView, nowMs: number): readonly PlannedMove[] {
	const room = maxMoves - view.moves.length;
	if (room <= 0) {
		return [];
	}

	const leaving = planDepartures(view, nowMs);
	if (leaving.length > 0) {
		return leaving;
	}

	if (view.moves.length > 0) {
		return [];
	}

	const newcomers = planNewcomer(view, nowMs);
	return newcomers.length > 0 || nowMs - view.settledMs < settleMs ? newcomers : planRelief(view, nowMs);
}

function rankTarget({key, demand, slots}: BackendView, keys: ReadonlyMap<string, number>): number {
	return (((keys.get(key) ?? 0) / keyCount) + (demand * 0.1)) / Math.max(1, slots);
}

/** Returns the first of the candidates with the lowest figure. There is at least one. */
function findLowest(candidates: readonly BackendView[], measure: (candidate: BackendView) => number): BackendView {
	let best = candidates[0]!;
	for (const candidate of candidates) {
		if (measure(candidate) < measure(best)) {
			best = candidate;
		}
	}

	return best;
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

/** All keys of servers that leave go at once: nothing is served there soon. */
function planDepartures(view: ServiceView, nowMs: number): readonly PlannedMove[] {
	const leaving = new Set(view.backends.filter(({mustLeave}) => mustLeave).map(({key}) => key));
	const segments = view.map.segments.filter(({owner}) => owner !== undefined && leaving.has(owner)).filter(segment => !isMoving(view, segment));
	return assignOrphans(view, segments).map(({from, to, owner: target}, index) => ({
		service: view.map.service, from, to, owner: segments[index]!.owner!, target, sinceMs: nowMs,
	}));
}

function planNewcomer(view: ServiceView, nowMs: number): readonly PlannedMove[] {
	const keys = countKeys(view);
	const targets = view.backends.filter(({isEligible, isCold}) => isEligible && !isCold);
	const fair = keyCount / Math.max(1, targets.length);
	const newcomer = targets.find(({key}) => (keys.get(key) ?? 0) < fair * 0.1);
	if (newcomer === undefined || targets.length < 2) {
		return [];
	}

	// An owner that is not heard gives nothing up; its keys are dealt anew when its lease has ended.
	const heard = new Set(view.backends.map(({key}) => key));
	const moves: PlannedMove[] = [];
	let given = keys.get(newcomer.key) ?? 0;
	for (const segment of view.map.segments.toSorted((left, right) => left.to - right.to || left.from - right.from)) {
		const owned = segment.owner === undefined ? 0 : keys.get(segment.owner) ?? 0;
		const size = segment.to - segment.from + 1;
		const isGiver = segment.owner !== undefined && heard.has(segment.owner) && segment.owner !== newcomer.key && owned - size >= fair * (1 - (newcomerPart / targets.length));
		if (isGiver && given < fair * newcomerPart) {
			given += size;
			keys.set(segment.owner, owned - size);
			moves.push({
				service: view.map.service, from: segment.from, to: segment.to, owner: segment.owner, target: newcomer.key, sinceMs: nowMs,
			});
		}
	}

	return moves;
}

/** Relieves the busiest server, one at a time: each key that moves is without service until its new owner's next heartbeat. */
function planRelief(view: ServiceView, nowMs: number): readonly PlannedMove[] {
	const targets = view.backends.filter(({isEligible, isCold}) => isEligible && !isCold);
	if (targets.length < 2) {
		return [];
	}

	const busiest = findLowest(targets, ({demand}) => -demand);
	const idlest = findLowest(targets, ({demand}) => demand);
	if (busiest.demand < busyDemand || busiest.demand - idlest.demand < minDifference) {
		return [];
	}

	return chooseRanges(busiest, idlest).map(({from, to}) => ({
		service: view.map.service, from, to, owner: busiest.key, target: idlest.key, sinceMs: nowMs,
	}));
}

/** Chooses the busiest ranges of a server that together make up half of the difference: they relieve most for the fewest keys. */
function chooseRanges(busy: BackendView, idle: BackendView): readonly KeyRange[] {
	const total = busy.rangeLoads.reduce((sum, {perS}) => sum + perS, 0);
	const wanted = total * (busy.demand - idle.demand) / 2 / busy.demand;
	const chosen: KeyRange[] = [];
	let moved = 0;
	for (const load of busy.rangeLoads.toSorted((left, right) => right.perS - left.perS)) {
		const part = choosePart(load, wanted - moved);
		if (part !== undefined && chosen.length < maxMoves && load.perS >= total * minLoadShare) {
			moved += part.perS;
			chosen.push(part);
		}
	}

	return chosen;
}

/** Takes the whole range where it fits, half of it where only that fits. */
function choosePart(load: KeyRange & {readonly perS: number; readonly middleKey: number}, wanted: number): (KeyRange & {readonly perS: number}) | undefined {
	if (load.perS <= wanted) {
		return load;
	}

	const canSplit = load.middleKey > load.from && load.middleKey <= load.to;
	return load.perS / 2 <= wanted && canSplit ? {from: load.middleKey, to: load.to, perS: load.perS / 2} : undefined;
}

function isMoving(view: ServiceView, range: KeyRange): boolean {
	return view.moves.some(move => move.from <= range.to && range.from <= move.to);
}
