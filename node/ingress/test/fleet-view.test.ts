import assert from 'node:assert/strict';
import test from 'node:test';
import type {DirectoryEntry, HeartbeatReply} from '@buckthornpoint/key-ranges/messages.js';
import {FleetView} from '../src/fleet-view.js';

function createEntry(vmId: string): DirectoryEntry {
	return {
		vmId, address: `${vmId}:1`, failureDomain: 'a', isStopping: false, backend: {
			key: `${vmId}/1`, service: 'sklad', state: 'ready', slots: 18, isCold: false,
		},
	};
}

function createReply(vmIds: readonly string[], isDirectoryComplete: boolean): HeartbeatReply {
	return {
		epoch: 1, leaseMs: 0, assignmentVersion: '', directoryVersion: vmIds.join(''), isDirectoryComplete, isStoreReached: true, directory: vmIds.map(vmId => createEntry(vmId)),
	};
}

test('a partial directory from a new controller removes no nodes', () => {
	const view = new FleetView();
	view.applyReply(createReply(['a', 'b', 'c'], true));
	view.applyReply(createReply(['b', 'd'], false));
	assert.deepEqual(view.listNodes('sklad').map(({vmId}) => vmId).toSorted(), ['a', 'b', 'c', 'd']);
	view.applyReply(createReply(['b', 'd'], true));
	assert.deepEqual(view.listNodes('sklad').map(({vmId}) => vmId), ['b', 'd']);
});

test('directory changes replace, add and remove entries and leave the others unchanged', () => {
	const view = new FleetView();
	view.applyReply(createReply(['a', 'b', 'c'], true));
	const {directory, ...rest} = createReply(['d'], true);
	view.applyReply({
		...rest, directoryVersion: 'later', directory: [...directory ?? [], {...createEntry('b'), isStopping: true}], directoryRemoved: ['c'],
	});
	assert.deepEqual(view.listNodes('sklad').map(({vmId}) => vmId).toSorted(), ['a', 'd']);
	assert.deepEqual([...view.listAddresses()].toSorted(), ['a:1', 'b:1', 'd:1']);
	assert.equal(view.getControllerInitialState().directory?.version, 'later');
});

test('an older configuration never replaces a newer one', () => {
	const view = new FleetView();
	const limits = {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	};
	assert.equal(view.setRoutes({
		version: 7, routes: [], services: new Map(), limits,
	}, 'seven'), true);
	assert.equal(view.setRoutes({
		version: 5, routes: [], services: new Map(), limits,
	}, 'five'), false);
	assert.equal(view.getRoutes()?.document, 'seven');
});

test('a leaving server instance is remembered until its VM is removed from a complete directory', () => {
	const view = new FleetView();
	const {backend, ...entry} = createEntry('a');
	assert.ok(backend !== undefined);
	view.applyReply({...createReply([], true), directory: [{...entry, backend: {...backend, state: 'gone'}}]});
	view.applyReply({...createReply([], true), directory: [entry]});
	assert.deepEqual(view.leavingInstances.list('a'), ['a/1']);
	view.applyReply(createReply(['b'], false));
	assert.deepEqual(view.leavingInstances.list('a'), ['a/1']);
	view.applyReply(createReply(['b'], true));
	assert.deepEqual(view.leavingInstances.list('a'), []);
});

test('a node without the evacuation orders does not know the ownership rules, even with routes from another node', () => {
	const view = new FleetView();
	view.setRoutes({
		version: 7, routes: [], services: new Map(), limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	}, 'seven');
	assert.equal(view.getOwnershipRules(), undefined);
	view.applyEvacuation({version: 3, era: 0, domains: ['a']});
	assert.deepEqual([...view.getOwnershipRules()?.evacuatedDomains ?? []], ['a']);
});
