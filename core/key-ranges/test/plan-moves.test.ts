import assert from 'node:assert/strict';
import test from 'node:test';
import type {BackendView, PlannedMove, ServiceView} from '../src/controller-state.js';
import {planMoves} from '../src/plan-moves.js';
import {applyOwnerChanges, createRangeMap, type RangeMap} from '../src/range-map.js';

/** One server in four is over twice as fast as the others, as on the users' VMs. */
const speeds: Readonly<Record<string, number>> = {
	slow1: 0.7, slow2: 0.7, slow3: 0.7, fast: 1.6,
};
const names = Object.keys(speeds);
const slots = 18;
const workMs = 60;
const keyCount = 65_536;
/** Long enough for a move to show in the counts. */
const stepMs = 3000;

function createMap(): RangeMap {
	return createRangeMap('s', names.map(key => ({key, vmId: key})));
}

/** Shows the servers as they are when requests at `perS` fall evenly on the keys. */
function createView(map: RangeMap, perS: number, opts: Partial<ServiceView> = {}): ServiceView {
	return {
		map, moves: [], settledMs: Number.NEGATIVE_INFINITY, backends: names.map(key => createBackend(map, key, perS)), ...opts,
	};
}

function createBackend(map: RangeMap, key: string, perS: number): BackendView {
	const rangeLoads = map.segments.filter(({owner}) => owner === key).map(({from, to}) => ({
		from, to, perS: perS * (to - from + 1) / keyCount, middleKey: Math.ceil((from + to) / 2),
	}));
	const offeredPerS = rangeLoads.reduce((sum, load) => sum + load.perS, 0);
	return {
		key, vmId: key, isEligible: true, mustLeave: false, isCold: false, slots, rangeLoads: rangeLoads.slice(0, 24), demand: offeredPerS * workMs / speeds[key]! / 1000 / slots,
	};
}

function applyMoves(map: RangeMap, moves: readonly PlannedMove[]): RangeMap {
	return moves.length === 0
		? map
		: applyOwnerChanges(map, moves.map(({from, to, target}) => ({
			from, to, owner: target, vmId: target,
		})));
}

function measureSpread(map: RangeMap, perS: number): number {
	const demands = createView(map, perS).backends.map(({demand}) => demand);
	return Math.max(...demands) - Math.min(...demands);
}

test('a faster server gets more keys, until all have room for a moment at a third of their speed', () => {
	// The calm day of the users' larger deployment: 521 requests a second over four servers.
	const perS = 521;
	let map = createMap();
	let moved = 0;
	for (let round = 0; round < 10; round++) {
		const moves = planMoves(createView(map, perS), round * stepMs);
		moved += moves.reduce((sum, {from, to}) => sum + to - from + 1, 0);
		map = applyMoves(map, moves);
	}

	assert.ok(measureSpread(map, perS) < 0.15, `${measureSpread(map, perS)} of the slots apart`);
	assert.ok(moved / keyCount < 0.25, `${moved / keyCount} of the keys moved`);
	assert.deepEqual(planMoves(createView(map, perS), 10 * stepMs), []);
});

test('servers that have room for a slow moment keep their keys', () => {
	assert.deepEqual(planMoves(createView(createMap(), 300), 0), []);
});

test('nothing is moved for load before the last move shows in the counts', () => {
	const settledMs = 1000;
	const view = createView(createMap(), 700, {settledMs});
	assert.deepEqual(planMoves(view, settledMs + 1900), []);
	assert.notDeepEqual(planMoves(view, settledMs + 2100), []);
});

test('keys of a server that leaves are moved at once, also right after other moves', () => {
	const map = createMap();
	const view = createView(map, 300, {settledMs: 1000});
	const backends = view.backends.map(backend => backend.key === 'slow1' ? {...backend, isEligible: false, mustLeave: true} : backend);
	const moves = planMoves({...view, backends}, 1000);
	const owned = map.segments.filter(({owner}) => owner === 'slow1');
	assert.equal(moves.length, owned.length);
	assert.ok(moves.every(({target}) => target !== 'slow1'));
});

test('a newcomer gets nothing from owners that are not heard: they would not give it up', () => {
	const map = createMap();
	const view = createView(map, 300);
	const withNewcomer = [...view.backends.filter(({key}) => key !== 'slow1'), {
		key: 'new', vmId: 'new', isEligible: true, mustLeave: false, isCold: false, slots, rangeLoads: [], demand: 0,
	}];
	const moves = planMoves({...view, backends: withNewcomer}, 0);
	assert.ok(moves.length > 0);
	assert.ok(moves.every(({owner}) => owner !== 'slow1'));
});
