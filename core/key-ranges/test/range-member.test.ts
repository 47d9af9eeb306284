import assert from 'node:assert/strict';
import test from 'node:test';
import type {GrantedRange} from '../src/key-ranges.js';
import type {HeartbeatReply} from '../src/messages.js';
import {RangeMember} from '../src/range-member.js';

const holdMs = 4000;
const key = 'i/1';
const allKeys: GrantedRange = {from: 0, to: 65_535, fence: 1};
const lowKeys: GrantedRange = {from: 0, to: 99, fence: 1};

function createReply(assignment: readonly GrantedRange[], assignmentVersion: string, leaseMs = 10_000): HeartbeatReply {
	return {
		epoch: 1, leaseMs, assignmentVersion, assignment, directoryVersion: '', isDirectoryComplete: true, isStoreReached: true,
	};
}

/** A member whose process started long ago. */
function createMember(): RangeMember {
	const member = new RangeMember({grantMs: holdMs}, -60_000);
	member.setBackend(key);
	return member;
}

test('nothing is granted without a lease, and no grant outlasts the lease', () => {
	const member = createMember();
	assert.equal(member.grant({key, holds: [], released: []}, 0), undefined);
	member.applyReply(createReply([lowKeys], '1.1', 2000), 0, key);
	const grant = member.grant({key, holds: [], released: []}, 500);
	assert.ok(grant !== undefined && 500 + (grant.durationMs * 1.04) <= 2000);
	assert.equal(member.grant({key, holds: [], released: []}, 1900), undefined);
});

test('a range removed from the assignment counts as held until the server no longer reports it or its grant ends', () => {
	const member = createMember();
	member.applyReply(createReply([allKeys], '1.1'), 0, key);
	member.grant({key, holds: [], released: []}, 0);
	member.applyReply(createReply([lowKeys], '1.2'), 10, key);
	assert.deepEqual(member.listStillHeld(20), [{from: 100, to: 65_535}]);
	member.grant({key, holds: [{from: 0, to: 99, fence: 2}], released: []}, 30);
	assert.deepEqual(member.listStillHeld(40), []);
});

test('a process that just started assumes that grants of the earlier process are in force, whatever the first heartbeat reports', () => {
	const member = new RangeMember({grantMs: holdMs}, 0);
	member.setBackend(key);
	// This heartbeat was sent before the last grant of the earlier process.
	member.grant({key, holds: [], released: []}, 100);
	member.applyReply(createReply([lowKeys], '1.1'), 200, key);
	assert.deepEqual(member.listStillHeld(300), [{from: 100, to: 65_535}]);
	member.grant({key, holds: [{from: 0, to: 99, fence: 2}], released: []}, 400);
	assert.deepEqual(member.listStillHeld(500), [{from: 100, to: 65_535}]);
	assert.deepEqual(member.listStillHeld(holdMs * 1.04), []);
});

test('a reply of an earlier controller is ignored', () => {
	const member = createMember();
	member.applyReply({...createReply([lowKeys], '2.1'), epoch: 2}, 0, key);
	assert.equal(member.applyReply(createReply([allKeys], '1.9'), 10, key), false);
	assert.deepEqual(member.listAssigned(), [lowKeys]);
});

test('handover data is sent with a range until the server holds it, and adjacent ranges are merged', () => {
	const member = createMember();
	const left: GrantedRange = {
		from: 0, to: 99, fence: 2, handover: 'l',
	};
	const right: GrantedRange = {
		from: 100, to: 199, fence: 2, handover: 'r',
	};
	member.applyReply(createReply([left, right], '1.1'), 0, key);
	assert.deepEqual(member.grant({key, holds: [], released: []}, 0)?.ranges, [left, right]);
	assert.deepEqual(member.grant({key, holds: [{from: 0, to: 99, fence: 2}], released: []}, 100)?.ranges, [{from: 0, to: 99, fence: 2}, right]);
	assert.deepEqual(member.grant({key, holds: [{from: 0, to: 199, fence: 2}], released: []}, 200)?.ranges, [{from: 0, to: 199, fence: 2}]);
});

test('a range that was left out of the reply does not count as granted, but may still be held', () => {
	const member = createMember();
	const rest: GrantedRange = {from: 100, to: 199, fence: 2};
	member.applyReply(createReply([lowKeys, rest], '1.1'), 0, key);
	member.grant({key, holds: [], released: []}, 0);
	member.recordOmitted([rest]);
	assert.equal(member.isHeld(50, 10), true);
	assert.equal(member.isHeld(150, 10), false);
	member.applyReply(createReply([lowKeys], '1.2'), 20, key);
	assert.deepEqual(member.listStillHeld(30), [{from: 100, to: 199}]);
	member.grant({key, holds: [], released: []}, 40);
	assert.equal(member.isHeld(50, 50), true);
});

test('a release is reported until a new controller can have received it, not indefinitely', () => {
	const member = createMember();
	const released = {from: 100, to: 199, handover: 'h'};
	member.applyReply(createReply([lowKeys], '1.1'), 0, key);
	member.grant({key, holds: [], released: [released]}, 1000);
	assert.deepEqual(member.listReleased(6000), [released]);
	assert.deepEqual(member.listReleased(12_000), []);
});
