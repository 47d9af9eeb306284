import type {MessageInitShape} from '@bufbuild/protobuf';
import type {
	Heartbeat, HeartbeatReply, LoadReport, Release,
} from '@buckthornpoint/ownership/messages.js';
import type {GrantOrder} from '@buckthornpoint/ownership/records.js';
import {decodeConfiguration, encodeConfiguration} from './convert-configuration.js';
import {
	decodeFence, decodeNode, encodeFence, encodeNode,
} from './convert-identity.js';
import {
	decodeMember, decodeRoutingTable, encodeMember, encodeRoutingTable,
} from './convert-routing.js';
import type {
	GrantOrder as WireGrantOrder, GrantOrderSchema, Heartbeat as WireHeartbeat, HeartbeatReply as WireHeartbeatReply,
	HeartbeatReplySchema, HeartbeatSchema, LoadReport as WireLoadReport, Release as WireRelease,
} from './generated/buckthornpoint/v1/cell_pb.js';

/** Converts a heartbeat to its wire format. */
export function encodeHeartbeat(heartbeat: Heartbeat): MessageInitShape<typeof HeartbeatSchema> {
	return {
		epoch: BigInt(heartbeat.epoch),
		sequence: BigInt(heartbeat.sequence),
		sentAtMs: heartbeat.sentAtMs,
		promisedStampMs: heartbeat.promisedStampMs,
		grantsVersion: BigInt(heartbeat.grantsVersion),
		mapVersion: BigInt(heartbeat.mapVersion),
		configurationVersion: BigInt(heartbeat.configurationVersion),
		released: heartbeat.released.map(({service, partition, fence}) => ({service, partition, fence: encodeFence(fence)})),
		descriptionVersion: BigInt(heartbeat.descriptionVersion),
		description: heartbeat.description && encodeMember(heartbeat.description),
		load: heartbeat.load,
		configuration: heartbeat.configuration && encodeConfiguration(heartbeat.configuration),
	};
}

/** Converts a heartbeat from its wire format. */
export function decodeHeartbeat(heartbeat: WireHeartbeat): Heartbeat {
	return {
		kind: 'heartbeat',
		epoch: Number(heartbeat.epoch),
		sequence: Number(heartbeat.sequence),
		sentAtMs: heartbeat.sentAtMs,
		promisedStampMs: heartbeat.promisedStampMs,
		grantsVersion: Number(heartbeat.grantsVersion),
		mapVersion: Number(heartbeat.mapVersion),
		configurationVersion: Number(heartbeat.configurationVersion),
		released: heartbeat.released.map(release => decodeRelease(release)),
		descriptionVersion: Number(heartbeat.descriptionVersion),
		description: heartbeat.description && decodeMember(heartbeat.description),
		load: heartbeat.load && decodeLoad(heartbeat.load),
		configuration: heartbeat.configuration && decodeConfiguration(heartbeat.configuration),
	};
}

/** Converts the reply to a heartbeat to its wire format. */
export function encodeHeartbeatReply(reply: HeartbeatReply): MessageInitShape<typeof HeartbeatReplySchema> {
	return {
		epoch: BigInt(reply.epoch),
		sequence: BigInt(reply.sequence),
		sentAtMs: reply.sentAtMs,
		stampMs: reply.stampMs,
		leaseMs: reply.leaseMs,
		promiseMs: reply.promiseMs,
		heartbeatIntervalMs: reply.heartbeatIntervalMs,
		acknowledgedDescription: BigInt(reply.acknowledgedDescription),
		grantsVersion: BigInt(reply.grantsVersion),
		grants: reply.grants && {grants: reply.grants.map(order => encodeGrantOrder(order))},
		routing: reply.routing && encodeRoutingTable(reply.routing),
		configurationVersion: BigInt(reply.configurationVersion),
		configuration: reply.configuration && encodeConfiguration(reply.configuration),
	};
}

/** Converts the reply to a heartbeat from its wire format. */
export function decodeHeartbeatReply(reply: WireHeartbeatReply): HeartbeatReply {
	return {
		kind: 'heartbeat-reply',
		epoch: Number(reply.epoch),
		sequence: Number(reply.sequence),
		sentAtMs: reply.sentAtMs,
		stampMs: reply.stampMs,
		leaseMs: reply.leaseMs,
		promiseMs: reply.promiseMs,
		heartbeatIntervalMs: reply.heartbeatIntervalMs,
		acknowledgedDescription: Number(reply.acknowledgedDescription),
		grantsVersion: Number(reply.grantsVersion),
		grants: reply.grants?.grants.map(order => decodeGrantOrder(order)),
		routing: reply.routing && decodeRoutingTable(reply.routing),
		configurationVersion: Number(reply.configurationVersion),
		configuration: reply.configuration && decodeConfiguration(reply.configuration),
	};
}

/** Converts a grant to its wire format. */
export function encodeGrantOrder(order: GrantOrder): MessageInitShape<typeof GrantOrderSchema> {
	const {service, partition, fence, predecessor, release} = order;
	return {
		service,
		partition,
		fence: encodeFence(fence),
		predecessor: predecessor && {node: encodeNode(predecessor.node), released: predecessor.released},
		release,
	};
}

/** Converts a grant from its wire format. */
export function decodeGrantOrder({service, partition, fence, predecessor, release}: WireGrantOrder): GrantOrder {
	const order = {
		service, partition, fence: decodeFence(fence), release,
	};
	return predecessor === undefined ? order : {...order, predecessor: {node: decodeNode(predecessor.node), released: predecessor.released}};
}

function decodeRelease({service, partition, fence}: WireRelease): Release {
	return {service, partition, fence: decodeFence(fence)};
}

function decodeLoad({finished, meanLatencyMs, cold, hottest}: WireLoadReport): LoadReport {
	const load = {finished, meanLatencyMs, cold};
	return hottest === undefined ? load : {...load, hottest: {service: hottest.service, key: hottest.key, share: hottest.share}};
}
