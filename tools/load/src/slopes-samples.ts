import process from 'node:process';
import {planPlacement} from '@buckthornpoint/placement/plan-placement.js';
import {findPartition} from '@buckthornpoint/placement/partition-hash.js';
import {OutcomeTable} from '@buckthornpoint/outcomes/outcome-table.js';
import {encodeControlMessage} from '@buckthornpoint/protocol/control-message.js';
import {encodeRoutingObject} from '@buckthornpoint/protocol/convert-routing.js';
import type {Heartbeat, HeartbeatReply} from '@buckthornpoint/ownership/messages.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import {v7 as createUuid} from 'uuid';
import {measureRetainedBytes} from './heap.js';

const microsecondsPerMs = 1000;
const copyCount = 50;
const answerBodyBytes = 200;
const lookupCount = 200_000;
const service = 'sklad';

/** Values measured at one size, by the name of the measure including its unit. */
export type Sample = {
	readonly size: number;
	readonly values: Readonly<Record<string, number>>;
};

/** Measures a routing table with the given numbers of partitions and members. */
export function measureMap(partitionCount: number, memberCount: number): Readonly<Record<string, number>> {
	const startedMs = readCpuMs();
	const table = createTable(partitionCount, memberCount);
	const placementMs = readCpuMs() - startedMs;
	return {
		'wire bytes': encodeRoutingObject(table).length,
		'JSON bytes': JSON.stringify(table).length,
		'memory bytes': measureRetainedBytes(() => Array.from({length: copyCount}, () => structuredClone(table))) / copyCount,
		'first placement, CPU ms': placementMs,
		'lookup, CPU µs': measureLookup(table, partitionCount),
	};
}

/** Measures an outcome record with the given number of requests, each with a short answer. */
export function measureOutcomes(count: number, clock: Clock): Readonly<Record<string, number>> {
	const startedMs = readCpuMs();
	const bytes = measureRetainedBytes(() => {
		const record = new OutcomeTable();
		for (let index = 0; index < count; index++) {
			const sending = {requestId: createUuid(), attempt: 1, fingerprint: 'a'.repeat(16)};
			record.admit(sending, clock.readTimestamp());
			record.complete(sending, {
				kind: 'answer', requestId: sending.requestId, status: 200, headers: [['content-type', 'application/json']], body: new Uint8Array(answerBodyBytes),
			}, clock.readTimestamp());
		}

		return record;
	});
	return {'memory bytes': bytes, 'admit and complete, CPU µs each': (readCpuMs() - startedMs) * microsecondsPerMs / count};
}

/** Measures the control messages of a cell with the given number of members, across which 256 partitions are spread. */
export function measureMessages(memberCount: number): Readonly<Record<string, number>> {
	const table = createTable(256, memberCount);
	const grants = table.map.placements.flatMap(({owners}) => owners.flatMap((owner, partition) => owner === 0
		? [{
			service, partition, fence: {epoch: 7, counter: 1000 + partition}, release: false,
		}]
		: []));
	const reply = (extra: Partial<HeartbeatReply>): number => encodeControlMessage({from: {vmId: 'vm-1', incarnation: createUuid()}, message: {...baseReply, ...extra}}).length;
	return {
		'heartbeat bytes': encodeControlMessage({toIncarnation: createUuid(), message: baseHeartbeat}).length,
		'reply bytes': reply({}),
		'reply with routing table, bytes': reply({routing: table}),
		'reply with all grants, bytes': reply({grants}),
		'grants of a member': grants.length,
	};
}

const baseHeartbeat: Heartbeat = {
	kind: 'heartbeat',
	epoch: 7,
	sequence: 123_456,
	sentAtMs: 123_456_789,
	promisedStampMs: 123_456_789,
	grantsVersion: 42,
	mapVersion: 99,
	configurationVersion: 9200,
	released: [],
	descriptionVersion: 1,
	load: {
		finished: 1000, meanLatencyMs: 5, cold: false, hottest: {service, key: 'lot-123456', share: 0.02},
	},
};

const baseReply: HeartbeatReply = {
	kind: 'heartbeat-reply',
	epoch: 7,
	sequence: 123_456,
	sentAtMs: 123_456_789,
	stampMs: 123_456_789,
	leaseMs: 1300,
	promiseMs: 1300,
	heartbeatIntervalMs: 800,
	acknowledgedDescription: 1,
	grantsVersion: 42,
	configurationVersion: 9200,
};

function createTable(partitionCount: number, memberCount: number): RoutingTable {
	const members = Array.from({length: memberCount}, (_, index) => createMember(index));
	const configuration: Configuration = {
		version: 1,
		services: [{
			name: service, tenant: 'medoplech', divided: true, partitionCount, maxConnections: 110, coldConcurrency: 4, rules: [],
		}],
		failureDomains: [],
		stoppingVms: [],
		deadVms: [],
	};
	const {map} = planPlacement({
		previous: {version: 0, vmIds: [], placements: []}, members, eligibleVms: new Set(members.map(({vmId}) => vmId)), configuration, weights: new Map(), hotKeys: [],
	}, {maxBalanceMoves: partitionCount});
	return {map, members};
}

function createMember(index: number): Member {
	const vmId = `sk-east-1-vm-${String(index + 1).padStart(3, '0')}`;
	return {
		vmId,
		incarnation: createUuid(),
		failureDomain: `fd-${(index % 3) + 1}`,
		phase: 'active',
		callerOrigin: `http://10.0.0.${index + 1}:8080`,
		peerOrigin: `http://10.0.0.${index + 1}:8081`,
		backendServer: {
			name: `sklad-${index + 1}`, service, origin: 'http://127.0.0.1:9000', slots: 18, checksFence: false, incarnation: createUuid(), leaving: false,
		},
	};
}

function measureLookup({map}: RoutingTable, partitionCount: number): number {
	const startedMs = readCpuMs();
	let found = 0;
	for (let index = 0; index < lookupCount; index++) {
		const owners = map.placements.find(placement => placement.service === service)?.owners;
		found += map.vmIds[owners?.[findPartition(`lot-${index}`, partitionCount)] ?? -1] === undefined ? 0 : 1;
	}

	return found === lookupCount ? (readCpuMs() - startedMs) * microsecondsPerMs / lookupCount : Number.NaN;
}

function readCpuMs(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / microsecondsPerMs;
}
