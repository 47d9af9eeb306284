import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import {MemberDirectory} from '../src/member-directory.js';

function createMember(vmId: string, incarnation: string): Member {
	return {
		vmId, incarnation, failureDomain: 'fd-1', phase: 'active', callerOrigin: '', peerOrigin: `http://${vmId}/${incarnation}`,
	};
}

function createTable(members: readonly Member[]): RoutingTable {
	return {map: {version: 1, vmIds: [], placements: []}, members};
}

test('the origin of a node that left the routing table is still known, for outcome queries', () => {
	const leaving = createMember('vm-2', '1');
	const routing = new ObservableValue(createTable([createMember('vm-1', '1'), leaving]));
	const directory = new MemberDirectory(routing);
	routing.publish(createTable([createMember('vm-1', '1')]));
	assert.equal(directory.findPeerOrigin(leaving), 'http://vm-2/1');
});

test('another instance of the same node is not returned', () => {
	const directory = new MemberDirectory(new ObservableValue(createTable([createMember('vm-2', '2')])));
	assert.equal(directory.findPeerOrigin({vmId: 'vm-2', incarnation: '1'}), undefined);
});

test('the nodes that left longest ago are evicted first', () => {
	const routing = new ObservableValue(createTable([]));
	const directory = new MemberDirectory(routing);
	for (let index = 0; index < 300; index++) {
		routing.publish(createTable([createMember(`vm-${index}`, '1')]));
	}

	assert.equal(directory.findPeerOrigin({vmId: 'vm-0', incarnation: '1'}), undefined);
	assert.ok(directory.findPeerOrigin({vmId: 'vm-299', incarnation: '1'}));
});
