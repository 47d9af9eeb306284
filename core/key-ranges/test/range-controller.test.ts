import assert from 'node:assert/strict';
import test from 'node:test';
import {mergeRanges, type GrantedRange} from '../src/key-ranges.js';
import {LeavingInstances} from '../src/leaving-instances.js';
import type {BackendReport, MemberHeartbeat} from '../src/messages.js';
import {RangeController} from '../src/range-controller.js';

const times = {
	leaseMs: 5000, vmSilenceMs: 1600, backendSilenceMs: 2700, startGatheringMs: 1000, vmRetentionMs: 10_000,
};
const rules = {partitionedServices: new Set(['s']), evacuatedDomains: new Set<string>()};
const unlimitedMs = 60_000;

function createController(earlierLeasesEndMs = 0): RangeController {
	return new RangeController({
		epoch: 1, maps: [], startMs: 0, earlierLeasesEndMs,
	}, times);
}

function createHeartbeat(vmId: string, opts: Partial<BackendReport> & {readonly incarnation?: string; readonly ended?: readonly string[]} = {}): MemberHeartbeat {
	const {incarnation = 'run-1', ended = [], ...backend} = opts;
	return {
		vmId, incarnation, address: vmId, failureDomain: 'a', service: 's', epoch: 1, isStopping: false,
		routesVersion: 0, ordersVersion: 0, directoryVersion: '', mapVersions: {}, ended,
		backend: {
			key: `${vmId}/1`, id: vmId, service: 's', state: 'ready', slots: 18, isCold: false, silentMs: 0, demand: 0.1, perS: 10,
			rangeLoads: [], assignmentVersion: '', stillHeld: [], released: [], ...backend,
		},
	};
}

function write(controller: RangeController, nowMs: number): void {
	for (const map of controller.planMaps(rules, nowMs)) {
		controller.recordWrittenMap(map);
	}
}

function start(vmIds: readonly string[]): RangeController {
	const controller = createController();
	for (const vmId of vmIds) {
		controller.handleHeartbeat(createHeartbeat(vmId), 0, unlimitedMs);
	}

	write(controller, 1000);
	return controller;
}

function listGranted(controller: RangeController, vmId: string, nowMs: number): readonly GrantedRange[] {
	return controller.handleHeartbeat(createHeartbeat(vmId), nowMs, unlimitedMs).assignment ?? [];
}

test('the first map assigns every key, and adjacent stripes to different servers', () => {
	const controller = start(['a', 'b']);
	const granted = ['a', 'b'].map(vmId => listGranted(controller, vmId, 1000));
	assert.deepEqual(mergeRanges(granted.flat()), [{from: 0, to: 65_535}]);
	assert.ok(granted.every(ranges => ranges.length > 50));
});

test('a node process that was replaced by another on its VM gets no lease', () => {
	const controller = start(['a', 'b']);
	controller.handleHeartbeat(createHeartbeat('a', {incarnation: 'run-2'}), 1100, unlimitedMs);
	const late = controller.handleHeartbeat(createHeartbeat('a', {incarnation: 'run-1'}), 1200, unlimitedMs);
	assert.equal(late.leaseMs, 0);
	assert.equal(late.assignment, undefined);
});

test('the keys of a server without heartbeats move to others once its lease has ended, with higher fences', () => {
	const controller = start(['a', 'b']);
	const before = listGranted(controller, 'a', 2000);
	controller.handleHeartbeat(createHeartbeat('b'), 6990, unlimitedMs);
	assert.deepEqual(controller.planMaps(rules, 6999), []);
	controller.handleHeartbeat(createHeartbeat('b'), 7000, unlimitedMs);
	write(controller, 7000);
	const after = listGranted(controller, 'b', 7000);
	assert.deepEqual(mergeRanges(after), [{from: 0, to: 65_535}]);
	assert.ok(before.every(({from, fence}) => after.some(range => range.from <= from && from <= range.to && range.fence > fence)));
});

test('an owner without heartbeats keeps its keys until leases of earlier controllers have ended', () => {
	const [map] = start(['a', 'b']).planMaps(rules, 0);
	assert.equal(map, undefined);
	const first = createController();
	first.handleHeartbeat(createHeartbeat('a'), 0, unlimitedMs);
	const maps = first.planMaps(rules, 1000);
	const next = new RangeController({
		epoch: 2, maps, startMs: 0, earlierLeasesEndMs: 20_000,
	}, times);
	next.handleHeartbeat(createHeartbeat('b'), 19_990, unlimitedMs);
	assert.deepEqual(next.planMaps(rules, 19_999), []);
	assert.equal(next.planMaps(rules, 20_000).length, 1);
});

test('a later instance on the VM of an owner, or a report that the owner has ended, frees its keys at once', () => {
	for (const heartbeat of [createHeartbeat('a', {key: 'a/2'}), createHeartbeat('c', {ended: ['a/1']})]) {
		const controller = start(['a', 'b']);
		assert.deepEqual(controller.planMaps(rules, 1100), []);
		controller.handleHeartbeat(createHeartbeat('b'), 1100, unlimitedMs);
		controller.handleHeartbeat(heartbeat, 1100, unlimitedMs);
		assert.equal(controller.planMaps(rules, 1100).length, 1);
	}
});

test('a delayed heartbeat of an earlier instance on the VM of an owner does not free its keys', () => {
	const controller = createController();
	controller.handleHeartbeat(createHeartbeat('a', {key: 'a/5'}), 0, unlimitedMs);
	write(controller, 1000);
	controller.handleHeartbeat(createHeartbeat('b'), 1100, unlimitedMs);
	for (const key of ['a/4', 'a/0']) {
		controller.handleHeartbeat(createHeartbeat('a', {key, incarnation: 'run-2'}), 1100, unlimitedMs);
		assert.deepEqual(controller.planMaps(rules, 1100), [], key);
	}
});

test('a restarted node process receives the leaving instances of its server, even before it reports any instance', () => {
	const controller = start(['a', 'b']);
	controller.handleHeartbeat(createHeartbeat('a', {state: 'draining'}), 2000, unlimitedMs);
	const {backend: _backend, ...withoutBackend} = createHeartbeat('a', {incarnation: 'run-2'});
	assert.deepEqual(controller.handleHeartbeat(withoutBackend, 3000, unlimitedMs).left, ['a/1']);
	assert.deepEqual(controller.handleHeartbeat(createHeartbeat('a', {incarnation: 'run-2', state: 'ready'}), 3100, unlimitedMs).left, ['a/1']);
	assert.equal(controller.handleHeartbeat(createHeartbeat('b'), 3100, unlimitedMs).left, undefined);
});

test('a new controller inherits the leaving instances from its node', () => {
	const left = new LeavingInstances();
	left.record('a', 'a/1');
	const controller = new RangeController({
		epoch: 2, maps: [], startMs: 0, earlierLeasesEndMs: 0, leavingInstances: left,
	}, times);
	assert.deepEqual(controller.handleHeartbeat(createHeartbeat('a'), 0, unlimitedMs).left, ['a/1']);
});

test('nodes that start together receive each directory entry once, and a controller takeover sends no entry that a node already has', () => {
	const vmIds = ['a', 'b', 'c'];
	const first = createController();
	const known = new Map<string, string>();
	const sent: string[] = [];
	const sendHeartbeat = (controller: RangeController, vmId: string, nowMs: number): void => {
		const reply = controller.handleHeartbeat({...createHeartbeat(vmId), epoch: controller.epoch, directoryVersion: known.get(vmId) ?? ''}, nowMs, unlimitedMs);
		known.set(vmId, reply.directoryVersion);
		sent.push(...(reply.directory ?? []).map(entry => `${vmId} receives ${entry.vmId}`));
	};

	for (const nowMs of [0, 100, 1500]) {
		for (const vmId of vmIds) {
			sendHeartbeat(first, vmId, nowMs);
		}
	}

	assert.equal(sent.length, 9);
	assert.equal(new Set(sent).size, 9);
	sent.length = 0;
	const entries = vmIds.map(vmId => first.handleHeartbeat(createHeartbeat(vmId), 1600, unlimitedMs).directory ?? [])[0]!;
	const next = new RangeController({
		epoch: 2, maps: [], startMs: 2000, earlierLeasesEndMs: 0, directory: {version: known.get('a')!, entries},
	}, times);
	for (const nowMs of [2100, 2600, 3200]) {
		sendHeartbeat(next, 'a', nowMs);
		sendHeartbeat(next, 'b', nowMs);
	}

	assert.deepEqual(sent, []);
	assert.deepEqual(next.handleHeartbeat({...createHeartbeat('a'), epoch: 2, directoryVersion: '1.3'}, 3300, unlimitedMs).directoryRemoved, ['c']);
});

test('until all nodes have had time to send a heartbeat, a full directory only adds to the entries of a node', () => {
	const controller = createController();
	const sendHeartbeat = (directoryVersion: string, nowMs: number): ReturnType<RangeController['handleHeartbeat']> =>
		controller.handleHeartbeat({...createHeartbeat('a'), directoryVersion}, nowMs, unlimitedMs);
	const early = sendHeartbeat('0.7', 0);
	assert.equal(early.isDirectoryComplete, false);
	assert.equal(early.directoryRemoved, undefined);
	const unchanged = sendHeartbeat(early.directoryVersion, 500);
	assert.equal(unchanged.directory, undefined);
	const complete = sendHeartbeat(unchanged.directoryVersion, 1000);
	assert.equal(complete.isDirectoryComplete, true);
	assert.equal(complete.directoryRemoved, undefined, 'the full directory replaces the earlier entries of the node');
	assert.equal(complete.directory?.length, 1);
	assert.equal(sendHeartbeat(complete.directoryVersion, 1100).directory, undefined);
});

test('a service whose map can\'t be read is not given to new owners, as if it had none', () => {
	for (const [unreadableServices, count] of [[new Set(['s']), 0], [new Set(['other']), 1]] as const) {
		const controller = new RangeController({
			epoch: 2, maps: [], startMs: 0, earlierLeasesEndMs: 0, unreadableServices,
		}, times);
		controller.handleHeartbeat(createHeartbeat('a'), 0, unlimitedMs);
		assert.equal(controller.planMaps(rules, 1000).length, count);
	}
});
