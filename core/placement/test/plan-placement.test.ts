import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {CellMap, Member} from '@buckthornpoint/types/membership.js';
import fc from 'fast-check';
import {measureImbalance} from '../src/measure-imbalance.js';
import {hashString} from '../src/partition-hash.js';
import {planPlacement, type HotKey, type PlacementPlan} from '../src/plan-placement.js';

const seed = 2026;
const runs = 300;
const unlimited = 1e6;
const emptyMap: CellMap = {version: 0, vmIds: [], placements: []};

function createMembers(size: number): readonly Member[] {
	return Array.from({length: size}, (_, index): Member => {
		const vmId = `vm-${String(index).padStart(2, '0')}`;
		return {
			vmId,
			incarnation: '1',
			failureDomain: `fd-${index % 3}`,
			phase: 'active',
			peerOrigin: '',
			callerOrigin: '',
			backendServer: {
				name: vmId, service: 'sklad', origin: '', slots: 18, checksFence: false, incarnation: '1', leaving: false,
			},
		};
	});
}

type Scenario = {
	readonly size: number;
	readonly partitionCount: number;
	/** Indices of the members that must not own partitions. */
	readonly absent?: readonly number[];
	readonly weights?: ReadonlyMap<string, number>;
	readonly hotKeys?: readonly HotKey[];
	readonly maxBalanceMoves?: number;
};

function plan(previous: CellMap, scenario: Scenario): PlacementPlan {
	const members = createMembers(scenario.size);
	return planPlacement({
		previous,
		members,
		eligibleVms: new Set(members.filter((_, index) => !scenario.absent?.includes(index)).map(({vmId}) => vmId)),
		configuration: {
			version: 1,
			services: [{
				name: 'sklad', tenant: 't', divided: true, partitionCount: scenario.partitionCount, maxConnections: 110, coldConcurrency: 4, rules: [],
			}],
			failureDomains: [],
			stoppingVms: [],
			deadVms: [],
		},
		weights: scenario.weights ?? new Map(),
		hotKeys: scenario.hotKeys ?? [],
	}, {maxBalanceMoves: scenario.maxBalanceMoves ?? unlimited});
}

function countOwned(map: CellMap): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const owner of map.placements[0]?.owners ?? []) {
		const vmId = map.vmIds[owner] ?? 'none';
		counts.set(vmId, (counts.get(vmId) ?? 0) + 1);
	}

	return counts;
}

// Rendezvous hashing: the VM with the highest hash owns the partition, however many it owns already.
function planNaively(size: number, partitionCount: number): readonly number[] {
	return Array.from({length: partitionCount}, (_, partition) => {
		const scores = Array.from({length: size}, (_, index) => hashString(`vm-${index}/${partition}`));
		return scores.indexOf(Math.max(...scores));
	});
}

const scenarios = fc.record({size: fc.integer({min: 2, max: 40}), partitionCount: fc.constantFrom(64, 256, 1024)});

test('a join moves at most the share of the new VM, and only to that VM', () => {
	fc.assert(fc.property(scenarios, ({size, partitionCount}) => {
		const before = plan(emptyMap, {size, partitionCount, absent: [size - 1]});
		const after = plan(before.map, {size, partitionCount});
		assert.ok(after.moves.length <= Math.ceil(partitionCount / size));
		assert.ok(after.moves.every(({to}) => to === after.map.vmIds[size - 1]));
		assert.ok(measureSpread(after.map) <= 1);
	}), {seed, numRuns: runs});
});

test('a loss moves exactly the partitions of the lost VM', () => {
	fc.assert(fc.property(scenarios, fc.nat(), ({size, partitionCount}, pick) => {
		const before = plan(emptyMap, {size, partitionCount});
		const lost = pick % size;
		const after = plan(before.map, {size, partitionCount, absent: [lost]});
		const owned = countOwned(before.map).get(before.map.vmIds[lost] ?? '') ?? 0;
		assert.equal(after.moves.length, owned);
		assert.ok(after.moves.every(({from}) => from === before.map.vmIds[lost]));
		assert.ok(measureSpread(after.map) <= 1);
	}), {seed, numRuns: runs});
});

test('after any joins and losses the plan is stable, balanced over VMs and no worse than rendezvous hashing', () => {
	fc.assert(fc.property(scenarios, fc.array(fc.array(fc.nat(39), {maxLength: 12}), {maxLength: 6}), ({size, partitionCount}, history) => {
		let {map} = plan(emptyMap, {size, partitionCount});
		for (const absent of history) {
			map = plan(map, {size, partitionCount, absent}).map;
		}

		const last = plan(map, {size, partitionCount});
		const again = plan(last.map, {size, partitionCount});
		assert.equal(again.map, last.map);
		assert.ok(measureSpread(last.map) <= 1);
		const naive = {service: 'sklad', owners: planNaively(size, partitionCount), exceptions: []};
		assert.ok(measureImbalance(last.map.placements[0] ?? naive) <= measureImbalance(naive));
	}), {seed, numRuns: runs});
});

test('a failure domain that leaves and returns moves its share each time, and the domains stay balanced', () => {
	const size = 9;
	const partitionCount = 256;
	const domain = [0, 3, 6];
	const before = plan(emptyMap, {size, partitionCount});
	const away = plan(before.map, {size, partitionCount, absent: domain});
	const back = plan(away.map, {size, partitionCount});
	const owned = domain.reduce((sum, index) => sum + (countOwned(before.map).get(before.map.vmIds[index] ?? '') ?? 0), 0);
	assert.equal(away.moves.length, owned);
	assert.ok(back.moves.length <= Math.ceil(partitionCount / 3));
	const perDomain = [0, 1, 2].map(first => [first, first + 3, first + 6].reduce((sum, index) => sum + (countOwned(back.map).get(back.map.vmIds[index] ?? '') ?? 0), 0));
	assert.ok(Math.max(...perDomain) - Math.min(...perDomain) <= 3);
});

test('a VM with a lower weight owns fewer partitions, and the number of balance moves is limited', () => {
	const weights = new Map([['vm-00', 0.25]]);
	const before = plan(emptyMap, {size: 4, partitionCount: 64});
	const bounded = plan(before.map, {
		size: 4, partitionCount: 64, weights, maxBalanceMoves: 3,
	});
	const settled = plan(bounded.map, {size: 4, partitionCount: 64, weights});
	assert.equal(bounded.moves.length, 3);
	assert.equal(countOwned(settled.map).get('vm-00'), 5);
	const lost = plan(before.map, {
		size: 4, partitionCount: 64, absent: [1], maxBalanceMoves: 0,
	});
	assert.equal(lost.moves.length, 16);
});

test('the current cell sizes of 4 and 6 VMs have an imbalance of at most 1.15', () => {
	for (const size of [4, 6]) {
		for (const partitionCount of [64, 128, 256]) {
			const {map} = plan(emptyMap, {size, partitionCount});
			assert.ok(measureImbalance(map.placements[0] ?? {service: '', owners: [], exceptions: []}) <= 1.15);
		}
	}
});

test('a hot key gets its own owner above one rate, keeps it, and loses it below a lower rate', () => {
	const scene = {size: 4, partitionCount: 64};
	const listOwners = (map: CellMap) => map.placements[0]?.exceptions ?? [];
	const planHotKeys = (map: CellMap, rates: readonly number[]): CellMap =>
		plan(map, {...scene, hotKeys: rates.map((rate, index) => ({service: 'sklad', key: `lot-${index}`, requestsPerSecond: rate}))}).map;
	const warm = planHotKeys(emptyMap, [499, 300]);
	const hot = planHotKeys(warm, [800, 600]);
	const cooler = planHotKeys(hot, [400, 300]);
	const cold = planHotKeys(cooler, [249, 260]);
	assert.deepEqual(listOwners(warm), []);
	assert.equal(new Set(listOwners(hot).map(({owner}) => owner)).size, 2);
	assert.deepEqual(listOwners(cooler), listOwners(hot));
	assert.deepEqual(listOwners(cold).map(({key}) => key), ['lot-1']);
	assert.equal(listOwners(planHotKeys(emptyMap, Array.from({length: 100}, () => 1000))).length, 80);
});

function measureSpread(map: CellMap): number {
	const counts = [...countOwned(map).values()];
	return Math.max(...counts) - Math.min(...counts);
}
