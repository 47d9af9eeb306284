import assert from 'node:assert/strict';
import test from 'node:test';
import type {BackendHeartbeat} from '@buckthornpoint/fleet/announcements.js';
import {BackendRegistration} from '../src/backend-registration.js';

const address = '10.0.0.1:8000';
const bornMs = 1000;
const key = 'i-1/1000';

function createRegistration(): BackendRegistration {
	return new BackendRegistration({address, isKnownService: () => true});
}

function createHeartbeat(opts: Partial<BackendHeartbeat> = {}): BackendHeartbeat {
	return {
		id: 'i-1', bornMs, sequence: 1, address, service: 's', failureDomain: 'a', slots: 18, isDraining: false, coldMs: 0, holds: [], released: [], ...opts,
	};
}

test('a server that announced its leave stays draining, whatever its later heartbeats say', () => {
	const registration = createRegistration();
	registration.handleHeartbeat(createHeartbeat(), 0);
	registration.handleHeartbeat(createHeartbeat({sequence: 2, isDraining: true}), 1000);
	registration.handleHeartbeat(createHeartbeat({sequence: 3}), 2000);
	assert.equal(registration.current?.state, 'draining');
	assert.equal(registration.current.leavingSinceMs, 1000);
});

test('a delayed heartbeat does not make an instance ready whose leave was reported to an earlier node process', () => {
	const registration = createRegistration();
	assert.equal(registration.recordLeavingInstances([key], Number.NEGATIVE_INFINITY), false);
	registration.handleHeartbeat(createHeartbeat(), 1000);
	assert.equal(registration.current?.state, 'draining');
	assert.equal(registration.current.leavingSinceMs, Number.NEGATIVE_INFINITY);
});

test('a ready instance becomes draining when its leave is reported by the controller', () => {
	const registration = createRegistration();
	registration.handleHeartbeat(createHeartbeat(), 0);
	assert.equal(registration.recordLeavingInstances([key], Number.NEGATIVE_INFINITY), true);
	assert.equal(registration.recordLeavingInstances([key], Number.NEGATIVE_INFINITY), false);
	assert.equal(registration.current?.state, 'draining');
});

test('an instance whose first heartbeat is draining may have started to leave long ago', () => {
	const registration = createRegistration();
	registration.handleHeartbeat(createHeartbeat({isDraining: true}), 1000);
	assert.equal(registration.current?.leavingSinceMs, Number.NEGATIVE_INFINITY);
});

test('a leave call of an unregistered instance also applies to its delayed heartbeats', () => {
	const registration = createRegistration();
	assert.equal(registration.handleLeave({id: 'i-1', bornMs, leftAtMs: 5000}, 1000).isCurrent, false);
	registration.handleHeartbeat(createHeartbeat(), 1100);
	assert.equal(registration.current?.state, 'draining');
});

test('a leaving instance that is briefly unreachable stays draining', () => {
	const registration = createRegistration();
	registration.handleHeartbeat(createHeartbeat(), 0);
	registration.handleHeartbeat(createHeartbeat({sequence: 2, isDraining: true}), 1000);
	assert.equal(registration.recordGone(), key);
	registration.handleHeartbeat(createHeartbeat({sequence: 3}), 2000);
	assert.equal(registration.current?.state, 'draining');
	assert.equal(registration.current.leavingSinceMs, 1000);
});

test('a new instance at the same address is ready although the previous one left', () => {
	const registration = createRegistration();
	registration.handleHeartbeat(createHeartbeat({isDraining: true}), 0);
	registration.handleHeartbeat(createHeartbeat({id: 'i-2', bornMs: 2000}), 3000);
	assert.equal(registration.current?.state, 'ready');
});

test('a leave call without a start time that arrives before any heartbeat applies to the instance that had started by then', () => {
	for (const [startedAtMs, state] of [[bornMs, 'draining'], [5001, 'ready']] as const) {
		const registration = createRegistration();
		assert.deepEqual(registration.handleLeave({id: 'i-1', bornMs: 0, leftAtMs: 5000}, 1000), {leave: {id: 'i-1', bornMs: 0, leftAtMs: 5000}, isCurrent: false});
		registration.handleHeartbeat(createHeartbeat({bornMs: startedAtMs}), 1100);
		assert.equal(registration.current?.state, state);
	}
});

test('an acknowledged draining heartbeat that arrives after a later ready one is not ignored', () => {
	const registration = createRegistration();
	registration.handleHeartbeat(createHeartbeat({sequence: 5}), 1000);
	assert.deepEqual(registration.handleHeartbeat(createHeartbeat({sequence: 4, isDraining: true}), 1100), {
		kind: 'outdated', reason: 'heartbeat 4 arrived after heartbeat 5', isStateChange: true,
	});
	assert.equal(registration.current?.state, 'draining');
});

test('a registered instance becomes draining when the store names its leave, with or without a start time', () => {
	for (const leaveBornMs of [bornMs, 0]) {
		const registration = createRegistration();
		registration.handleHeartbeat(createHeartbeat(), 1000);
		assert.equal(registration.recordLeaves([{id: 'i-1', bornMs: leaveBornMs, leftAtMs: 5000}]), true);
		assert.equal(registration.current?.state, 'draining');
		assert.equal(registration.current.leavingSinceMs, Number.NEGATIVE_INFINITY);
	}
});
