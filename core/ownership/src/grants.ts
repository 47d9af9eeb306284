import {
	compareFences, formatPartitionId, isSameNode, type NodeIdentity, type PartitionId,
} from '@buckthornpoint/types/identity.js';
import {measureAuthority} from './authority.js';
import {deriveUpperBound} from './bounds.js';
import {formatNodeKey, type ControllerState, type Holder} from './cell-state.js';
import {isLive} from './membership.js';
import type {Release} from './messages.js';
import type {Predecessor} from './ownership-view.js';
import type {GrantOrder} from './records.js';
import {getOrCreateSession} from './sessions.js';
import {scheduleWake, sendMessage, type StepScope} from './step-scope.js';

/**
 * Updates the grants to match the map: requests releases from holders, waits for release or lease end, and grants to
 * the next owner.
 */
export function updateGrants(scope: StepScope, controller: ControllerState): void {
	if (controller.phase !== 'active' || measureAuthority(scope, controller) <= 0) {
		return;
	}

	if (!controller.mustUpdateGrants && scope.nowMs < controller.nextGrantUpdateAtMs) {
		scheduleWake(scope, controller.nextGrantUpdateAtMs);
		return;
	}

	controller.mustUpdateGrants = false;
	controller.nextGrantUpdateAtMs = Number.POSITIVE_INFINITY;
	const placed = new Set<string>();
	for (const {service, owners} of controller.map.placements) {
		for (const [partition, owner] of owners.entries()) {
			const vmId = controller.map.vmIds[owner];
			placed.add(formatPartitionId({service, partition}));
			updatePartition(scope, controller, {service, partition}, findOwner(controller, vmId));
		}
	}

	for (const id of [...controller.holders.keys()].filter(other => !placed.has(other))) {
		updatePartition(scope, controller, parsePartitionId(id), undefined);
	}

	updateOrders(controller);
}

/** Removes the holder of a partition that it has released. */
export function applyRelease(controller: ControllerState, node: NodeIdentity, release: Release): void {
	const id = formatPartitionId(release);
	const holder = controller.holders.get(id);
	if (holder === undefined || !isSameNode(holder.node, node) || compareFences(holder.fence, release.fence) !== 0) {
		return;
	}

	removeHolder(controller, id, holder);
	controller.predecessors.set(id, {node: holder.node, released: true});
	controller.mustUpdateGrants = true;
}

/** Records that a partition is held by its current owner, under a new fence of this epoch. */
export function addHolder(controller: ControllerState, id: string, owner: Predecessor): void {
	setHolder(controller, id, createHolder(controller, owner.node, owner));
}

/** Notifies the members whose grants or map have changed since their last notice. */
export function sendNotices(scope: StepScope, controller: ControllerState): void {
	if (controller.phase !== 'active') {
		return;
	}

	for (const member of controller.members) {
		const session = controller.sessions.get(formatNodeKey(member));
		if (session === undefined || session.lost || isSameNode(member, scope.state.node)) {
			continue;
		}

		const isDue = session.notifiedGrantsVersion < session.grantsVersion || session.notifiedMapVersion < controller.map.version;
		session.notifiedGrantsVersion = session.grantsVersion;
		session.notifiedMapVersion = controller.map.version;
		if (isDue) {
			sendMessage(scope, {node: session.node, peerOrigin: member.peerOrigin}, {kind: 'notice', epoch: controller.epoch});
		}
	}
}

function findOwner(controller: ControllerState, vmId: string | undefined): NodeIdentity | undefined {
	const member = controller.members.find(other => other.vmId === vmId);
	return member !== undefined && isLive(controller, member) ? {vmId: member.vmId, incarnation: member.incarnation} : undefined;
}

function updatePartition(scope: StepScope, controller: ControllerState, partition: PartitionId, owner: NodeIdentity | undefined): void {
	const id = formatPartitionId(partition);
	const holder = controller.holders.get(id);
	if (holder !== undefined && owner !== undefined && isSameNode(holder.node, owner)) {
		if (holder.release) {
			setHolder(controller, id, createHolder(controller, owner, {node: holder.node, released: false}));
		}

		return;
	}

	if (holder !== undefined && !hasHolderExpired(scope, controller, holder)) {
		if (!holder.release) {
			setHolder(controller, id, {...holder, release: true});
		}

		return;
	}

	if (holder !== undefined) {
		removeHolder(controller, id, holder);
		controller.predecessors.set(id, {node: holder.node, released: false});
	}

	if (owner !== undefined) {
		setHolder(controller, id, createHolder(controller, owner, controller.predecessors.get(id)));
	}
}

function createHolder(controller: ControllerState, node: NodeIdentity, predecessor: GrantOrder['predecessor']): Holder {
	controller.fenceCounter += 1;
	return {
		node, fence: {epoch: controller.epoch, counter: controller.fenceCounter}, predecessor, release: false,
	};
}

/** Returns whether a holder that has not released its partition has expired: its lease and the requests that ran under it have ended. */
function hasHolderExpired(scope: StepScope, controller: ControllerState, holder: Holder): boolean {
	const {timing} = scope.state;
	const session = getOrCreateSession(controller, holder.node);
	const expiresAtMs = session.leaseEndAtMs + deriveUpperBound(timing.inFlightAllowanceMs, timing);
	if (scope.nowMs >= expiresAtMs) {
		return true;
	}

	controller.nextGrantUpdateAtMs = Math.min(controller.nextGrantUpdateAtMs, expiresAtMs);
	scheduleWake(scope, expiresAtMs);
	return false;
}

/** Rebuilds the grant lists of the members whose grants changed. */
function updateOrders(controller: ControllerState): void {
	const orders = new Map([...controller.staleOrderKeys].map((key): [string, GrantOrder[]] => [key, []]));
	for (const [id, {node, ...order}] of orders.size === 0 ? [] : controller.holders) {
		orders.get(formatNodeKey(node))?.push({...parsePartitionId(id), ...order});
	}

	controller.staleOrderKeys.clear();
	for (const [key, next] of orders) {
		const session = controller.sessions.get(key);
		if (session !== undefined && JSON.stringify(next) !== JSON.stringify(session.orders)) {
			session.orders = next;
			controller.latestGrantsVersion += 1;
			session.grantsVersion = controller.latestGrantsVersion;
		}
	}
}

function setHolder(controller: ControllerState, id: string, holder: Holder): void {
	controller.holders.set(id, holder);
	controller.staleOrderKeys.add(formatNodeKey(holder.node));
}

function removeHolder(controller: ControllerState, id: string, holder: Holder): void {
	controller.holders.delete(id);
	controller.staleOrderKeys.add(formatNodeKey(holder.node));
}

function parsePartitionId(id: string): PartitionId {
	const separatorIndex = id.lastIndexOf('/');
	return {service: id.slice(0, separatorIndex), partition: Number(id.slice(separatorIndex + 1))};
}
