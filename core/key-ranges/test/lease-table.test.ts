import assert from 'node:assert/strict';
import test from 'node:test';
import {LeaseTable} from '../src/lease-table.js';

const leaseMs = 5000;
/** The longest that a lease may run after it was given, on a clock that drifts. */
const lastMs = leaseMs * 1.04;

test('an owner that was not heard is waited for as long as earlier controllers may have let it', () => {
	const leases = new LeaseTable({earlierLeasesEndMs: 22_000}, leaseMs);
	assert.equal(leases.isOver('a/1', 21_999), false);
	assert.equal(leases.isOver('a/1', 22_000), true);
});

test('once the node of the controller before follows the new one, only the last lease that it gave is waited for', () => {
	const leases = new LeaseTable({earlierLeasesEndMs: 22_000, predecessor: {vmId: 'vm-1', inheritedLeasesEndMs: 0}}, leaseMs);
	leases.noteFollower('vm-1', 1000);
	assert.equal(leases.isOver('a/1', 1000 + lastMs - 1), false);
	assert.equal(leases.isOver('a/1', 1000 + lastMs), true);
	assert.equal(leases.earlierLeasesEndMs, 1000 + lastMs);
});

test('that other nodes follow proves nothing of the controller before', () => {
	const leases = new LeaseTable({earlierLeasesEndMs: 22_000, predecessor: {vmId: 'vm-1', inheritedLeasesEndMs: 0}}, leaseMs);
	leases.noteFollower('vm-2', 1000);
	assert.equal(leases.isOver('a/1', 21_999), false);
});

test('leases of controllers before the last one are waited for all the same', () => {
	const leases = new LeaseTable({earlierLeasesEndMs: 22_000, predecessor: {vmId: 'vm-1', inheritedLeasesEndMs: 15_000}}, leaseMs);
	leases.noteFollower('vm-1', 1000);
	assert.equal(leases.isOver('a/1', 14_999), false);
	assert.equal(leases.isOver('a/1', 15_000), true);
});

test('an owner whose node follows is bound by its own lease, one whose node does not by both', () => {
	const leases = new LeaseTable({earlierLeasesEndMs: 22_000}, leaseMs);
	leases.note('a/1', 6000, true);
	leases.note('b/1', 6000, false);
	assert.equal(leases.isOver('a/1', 6000), true);
	assert.equal(leases.isOver('b/1', 6000), false);
	assert.equal(leases.isOver('b/1', 22_000), true);
});

test('the wait never grows by what is learned of the controller before', () => {
	const leases = new LeaseTable({earlierLeasesEndMs: 2000, predecessor: {vmId: 'vm-1', inheritedLeasesEndMs: 0}}, leaseMs);
	leases.noteFollower('vm-1', 1000);
	assert.equal(leases.earlierLeasesEndMs, 2000);
});
