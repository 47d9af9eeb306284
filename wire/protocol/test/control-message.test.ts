import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {CellMessage, Heartbeat, HeartbeatReply} from '@buckthornpoint/ownership/messages.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import fc from 'fast-check';
import {decodeControlMessage, encodeControlMessage} from '../src/control-message.js';
import {decodeRoutingObject, encodeRoutingObject} from '../src/convert-routing.js';

const node = {vmId: 'vm-1', incarnation: 'a1'};
const fence = {epoch: 3, counter: 9};
const order = {
	service: 'sklad', partition: 7, fence, predecessor: {node, released: true}, release: false,
};
const member: Member = {
	...node,
	peerOrigin: 'http://10.0.0.1:7100',
	callerOrigin: 'http://10.0.0.1:7200',
	failureDomain: 'fd-1',
	phase: 'active',
	backendServer: {
		name: 'sklad-1', service: 'sklad', origin: 'http://127.0.0.1:80', slots: 18, checksFence: true, incarnation: 'b1', leaving: false,
	},
};
const routing: RoutingTable = {
	map: {version: 4, vmIds: ['vm-1'], placements: [{service: 'sklad', owners: [0, -1], exceptions: [{key: 'lot-1', owner: 'vm-1'}]}]},
	members: [member],
};
const configuration: Configuration = {
	version: 2,
	services: [{
		name: 'sklad',
		tenant: 'medoplech',
		divided: true,
		partitionCount: 64,
		maxConnections: 110,
		coldConcurrency: 4,
		rules: [{
			method: 'GET', pathPrefix: '/lots', idempotent: true, requestClass: 'interactive', defaultDeadlineMs: 2000,
		}],
	}],
	failureDomains: [{name: 'fd-1', out: true}],
	stoppingVms: ['vm-9'],
	deadVms: ['vm-8'],
};
const heartbeat: Heartbeat = {
	kind: 'heartbeat',
	epoch: 3,
	sequence: 12,
	sentAtMs: 1234.5,
	promisedStampMs: 0,
	grantsVersion: 1,
	mapVersion: 4,
	configurationVersion: 2,
	released: [{service: 'sklad', partition: 7, fence}],
	descriptionVersion: 1,
	description: member,
	load: {
		finished: 10, meanLatencyMs: 1.5, cold: true, hottest: {service: 'sklad', key: 'lot-1', share: 0.5},
	},
	configuration,
};
const reply: HeartbeatReply = {
	kind: 'heartbeat-reply',
	epoch: 3,
	sequence: 12,
	sentAtMs: 1234.5,
	stampMs: 99.25,
	leaseMs: 1300,
	promiseMs: 1300,
	heartbeatIntervalMs: 360,
	acknowledgedDescription: 1,
	grantsVersion: 2,
	grants: [order],
	routing,
	configurationVersion: 2,
	configuration,
};
const messages: readonly CellMessage[] = [
	heartbeat,
	{
		...heartbeat, promisedStampMs: undefined, released: [], description: undefined, load: undefined, configuration: undefined,
	},
	reply,
	{
		...reply, grants: [], routing: undefined, configuration: undefined,
	},
	{...reply, grants: undefined},
	{
		kind: 'takeover-request', epoch: 4, controller: node, peerOrigin: 'http://10.0.0.1:7100',
	},
	{
		kind: 'takeover-agreement', epoch: 4, remainingPromiseMs: 12.5, held: [order], mapVersion: 4, configurationVersion: 2,
	},
	{kind: 'notice', epoch: 4},
	{
		kind: 'refusal', reason: 'other-incarnation', epoch: 4, controller: {node, peerOrigin: 'http://10.0.0.1:7100'},
	},
	{kind: 'refusal', reason: 'not-controller', epoch: 0},
];

test('every kind of control message is unchanged after encoding and decoding', () => {
	for (const message of messages) {
		const envelope = {from: node, toIncarnation: 'a2', message};
		const decoded = decodeControlMessage(encodeControlMessage(envelope));
		assert.deepEqual(removeUndefined(decoded._unsafeUnwrap()), removeUndefined(envelope));
	}
});

test('a routing table is unchanged after encoding and decoding as an object of the object store', () => {
	assert.deepEqual(removeUndefined(decodeRoutingObject(encodeRoutingObject(routing))._unsafeUnwrap()), routing);
});

test('decoding bytes that are not a message returns a typed error and never throws', () => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 64}), bytes => {
		const decoded = decodeControlMessage(bytes);
		assert.ok(decoded.isOk() || decoded.error.code === 'ERR_DOCUMENT_VALUE');
	}), {seed: 4});
	assert.equal(decodeControlMessage(new Uint8Array())._unsafeUnwrapErr().code, 'ERR_DOCUMENT_VALUE');
});

// Removes properties that are undefined, so that they compare equal to absent ones.
function removeUndefined(value: unknown): unknown {
	const json = JSON.stringify(value);
	return JSON.parse(json);
}
