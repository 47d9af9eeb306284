import {addMilliseconds, hasPassed, type Timestamp} from '@buckthornpoint/clock/clock.js';
import {
	compareFences, formatPartitionId, isSameNode, type NodeIdentity, type PartitionId,
} from '@buckthornpoint/types/identity.js';
import type {ControllerContact} from './cell-state.js';
import type {
	HeartbeatReply, Release, TakeoverAgreement, TakeoverRequest,
} from './messages.js';
import type {Grant} from './ownership-view.js';
import type {GrantOrder} from './records.js';
import {applyConfiguration} from './configuration.js';
import {scheduleWake, reportEvent, type StepScope} from './step-scope.js';

/** Applies a reply of the controller: the lease, the promise, and the state that the member did not have. */
export function applyReply(scope: StepScope, from: NodeIdentity, reply: HeartbeatReply): void {
	const {member} = scope.state;
	const sentAt = member.sent.get(reply.sequence);
	if (reply.epoch < member.agreedEpoch || sentAt?.monotonicMs !== reply.sentAtMs) {
		return;
	}

	applyEpoch(scope, reply.epoch);
	recordReply(scope, reply);
	if (member.contact !== undefined && !isSameNode(member.contact.node, from)) {
		member.contact = {...member.contact, node: from};
	}

	applyPromise(scope, reply);
	applyGrants(scope, reply);
	applyLease(scope, reply, sentAt);
	applyRouting(scope, reply);
	if (reply.configuration !== undefined) {
		applyConfiguration(scope, reply.configuration);
	}
}

/**
 * Agrees to a takeover: from now on the member makes no promise for an older epoch. Returns undefined if the requested
 * epoch is itself an older one.
 */
export function promiseTakeover(scope: StepScope, request: TakeoverRequest): TakeoverAgreement | undefined {
	const {member, configuration} = scope.state;
	if (request.epoch < member.agreedEpoch) {
		return undefined;
	}

	applyEpoch(scope, request.epoch);
	replaceContact(scope, {node: request.controller, peerOrigin: request.peerOrigin});
	return {
		kind: 'takeover-agreement',
		epoch: request.epoch,
		remainingPromiseMs: Math.max(0, member.olderPromiseEndAtMs - scope.nowMs),
		held: listHeldGrants(scope),
		mapVersion: member.routing?.map.version ?? 0,
		configurationVersion: configuration.version,
	};
}

/** Switches to another controller and makes the next heartbeat due at once. */
export function replaceContact(scope: StepScope, contact: ControllerContact): void {
	const {member} = scope.state;
	if (member.contact !== undefined && isSameNode(member.contact.node, contact.node)) {
		return;
	}

	member.contact = contact;
	member.awaitedSequence = undefined;
	member.missedReplies = 0;
	member.acknowledgedDescription = 0;
	member.controllerConfigurationVersion = scope.state.configuration.version;
	member.nextHeartbeatAtMs = scope.nowMs;
}

/** Switches to a later epoch. The promise for the older one lasts until its original end. */
export function applyEpoch(scope: StepScope, epoch: number): void {
	const {member} = scope.state;
	if (epoch <= member.agreedEpoch) {
		return;
	}

	member.olderPromiseEndAtMs = Math.max(member.olderPromiseEndAtMs, member.promiseEndAtMs);
	member.agreedEpoch = epoch;
	member.promisedStampMs = undefined;
	member.acknowledgedDescription = 0;
}

/** Lists the grants that the member holds, so that a new controller receives assignments made during a store outage. */
export function listHeldGrants(scope: StepScope): readonly GrantOrder[] {
	return [...scope.state.member.grants.values()].map(grant => ({
		service: grant.partition.service,
		partition: grant.partition.partition,
		fence: grant.fence,
		release: grant.releasing,
	}));
}

/** Releases a partition for which no request is running any more, if its grant is to be released. */
export function releaseDrained(scope: StepScope, partition: PartitionId): void {
	const {member} = scope.state;
	const key = formatPartitionId(partition);
	const grant = member.grants.get(key);
	if (!grant?.releasing) {
		return;
	}

	member.grants = new Map([...member.grants].filter(([other]) => other !== key));
	member.lastReleased.set(key, grant);
	member.released = [...member.released, {...partition, fence: grant.fence}];
	member.nextHeartbeatAtMs = scope.nowMs;
}

/** Removes the lease when it has ended and reports this once. */
export function expireLease(scope: StepScope): void {
	const {member} = scope.state;
	if (member.leaseEnd === undefined) {
		return;
	}

	if (hasPassed(member.leaseEnd, scope.context.now)) {
		member.leaseEnd = undefined;
		reportEvent(scope, {name: 'lease-lapsed'});
		return;
	}

	scheduleWake(scope, member.leaseEnd.monotonicMs);
}

function recordReply(scope: StepScope, reply: HeartbeatReply): void {
	const {member} = scope.state;
	member.missedReplies = 0;
	member.heartbeatIntervalMs = reply.heartbeatIntervalMs;
	member.acknowledgedDescription = reply.acknowledgedDescription;
	member.controllerConfigurationVersion = reply.configurationVersion;
	if (reply.sequence === member.awaitedSequence) {
		member.awaitedSequence = undefined;
		member.nextHeartbeatAtMs = reply.sentAtMs + reply.heartbeatIntervalMs;
	}
}

function applyPromise(scope: StepScope, reply: HeartbeatReply): void {
	const {member} = scope.state;
	member.promisedStampMs = Math.max(member.promisedStampMs ?? reply.stampMs, reply.stampMs);
	member.promiseEndAtMs = Math.max(member.promiseEndAtMs, scope.nowMs + reply.promiseMs);
}

function applyGrants(scope: StepScope, reply: HeartbeatReply): void {
	const {member} = scope.state;
	const isNewer = reply.epoch > member.grantsEpoch || reply.grantsVersion > member.grantsVersion;
	if (reply.grants === undefined || !isNewer) {
		return;
	}

	const orders = reply.grants.filter(order => !isReleased(member.released, order));
	const grants = orders.map((order): [string, Grant] => {
		const partition: PartitionId = {service: order.service, partition: order.partition};
		return [formatPartitionId(partition), buildGrant(scope, partition, order)];
	});
	member.released = member.released.filter(release => reply.grants?.some(order => isSameGrant(order, release)));
	member.grants = new Map(grants);
	member.grantsEpoch = reply.epoch;
	member.grantsVersion = reply.grantsVersion;
}

function buildGrant(scope: StepScope, partition: PartitionId, order: GrantOrder): Grant {
	const {member, node} = scope.state;
	const id = formatPartitionId(partition);
	const isOwnSuccessor = order.predecessor !== undefined && isSameNode(order.predecessor.node, node);
	const released = member.lastReleased.get(id);
	// No other node held the partition in between: within an epoch, the predecessor that the controller names is the last node that released the partition.
	const isReturned = isOwnSuccessor && order.predecessor?.released && released?.fence.epoch === order.fence.epoch;
	const held = member.grants.get(id) ?? (isReturned ? released : undefined);
	const isSameEpoch = held?.fence.epoch === order.fence.epoch;
	const isContinued = held !== undefined && (isOwnSuccessor
		? isSameEpoch || (order.predecessor?.released)
		: isSameEpoch && compareFences(held.fence, order.fence) === 0);
	return {
		partition,
		fence: order.fence,
		ownedSince: isContinued ? held.ownedSince : scope.context.now,
		predecessor: isContinued ? held.predecessor : order.predecessor,
		releasing: order.release,
	};
}

function applyLease(scope: StepScope, reply: HeartbeatReply, sentAt: Timestamp): void {
	const {member} = scope.state;
	if (member.grantsEpoch !== reply.epoch || reply.leaseMs <= 0 || reply.grantsVersion !== member.grantsVersion) {
		return;
	}

	const end = addMilliseconds(sentAt, reply.leaseMs);
	if (member.leaseEnd === undefined || end.monotonicMs > member.leaseEnd.monotonicMs) {
		member.leaseEnd = end;
	}
}

function applyRouting(scope: StepScope, reply: HeartbeatReply): void {
	const {member} = scope.state;
	const known = member.routing?.map.version ?? -1;
	if (reply.routing === undefined || reply.routing.map.version <= known) {
		return;
	}

	member.routing = reply.routing;
	scope.effects.push({kind: 'routing-changed', table: reply.routing});
	reportEvent(scope, {name: 'map-in-force', version: reply.routing.map.version});
}

function isReleased(released: readonly Release[], order: GrantOrder): boolean {
	return released.some(release => isSameGrant(order, release));
}

function isSameGrant(order: GrantOrder, release: Release): boolean {
	return order.service === release.service && order.partition === release.partition && compareFences(order.fence, release.fence) === 0;
}
