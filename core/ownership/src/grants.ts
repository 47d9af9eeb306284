import {
	compareFences, formatPartitionId, isSameNode, type NodeIdentity, type PartitionId,
} from '@buckthornpoint/types/identity.js';
import {measureAuthority} from './authority.js';
import {measureLongest} from './bounds.js';
import {formatNode, type ControllerState, type Holder} from './cell-state.js';
import {isLive} from './membership.js';
import type {Release} from './messages.js';
import type {Predecessor} from './ownership-view.js';
import type {GrantOrder} from './records.js';
import {findSession} from './sessions.js';
import {expectWake, sendMessage, type StepScope} from './step-scope.js';

/** Brings the grants after the map: revokes, waits for leases to end, and grants to the next owner. */
export function updateGrants(scope: StepScope, controller: ControllerState): void {
	if (controller.phase !== 'active' || measureAuthority(scope, controller) <= 0) {
		return;
	}

	if (!controller.areGrantsDue && scope.nowMs < controller.grantsDueAtMs) {
		expectWake(scope, controller.grantsDueAtMs);
		return;
	}

	controller.areGrantsDue = false;
	controller.grantsDueAtMs = Number.POSITIVE_INFINITY;
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

/** Frees a partition that its holder gave back. */
export function noteReleased(controller: ControllerState, node: NodeIdentity, release: Release): void {
	const id = formatPartitionId(release);
	const holder = controller.holders.get(id);
	if (holder === undefined || !isSameNode(holder.node, node) || compareFences(holder.fence, release.fence) !== 0) {
		return;
	}

	removeHolder(controller, id, holder);
	controller.predecessors.set(id, {node: holder.node, released: true});
	controller.areGrantsDue = true;
}

/** Takes a partition for held by its present owner, under a fence of this epoch. */
export function addHolder(controller: ControllerState, id: string, owner: Predecessor): void {
	setHolder(controller, id, createHolder(controller, owner.node, owner));
}

/** Gives notice to the members that have not yet got their newest grants or the newest map. */
export function sendNotices(scope: StepScope, controller: ControllerState): void {
	if (controller.phase !== 'active') {
		return;
	}

	for (const member of controller.members) {
		const session = controller.sessions.get(formatNode(member));
		if (session === undefined || session.lost || isSameNode(member, scope.state.node)) {
			continue;
		}

		const isDue = session.noticedGrantsVersion < session.grantsVersion || session.noticedMapVersion < controller.map.version;
		session.noticedGrantsVersion = session.grantsVersion;
		session.noticedMapVersion = controller.map.version;
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

	if (holder !== undefined && !isFree(scope, controller, holder)) {
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
	controller.counter += 1;
	return {
		node, fence: {epoch: controller.epoch, counter: controller.counter}, predecessor, release: false,
	};
}

/** A holder that released nothing is out once its lease and what ran under it are over. */
function isFree(scope: StepScope, controller: ControllerState, holder: Holder): boolean {
	const {timing} = scope.state;
	const session = findSession(controller, holder.node);
	const freeAtMs = session.leaseUntilAtMs + measureLongest(timing.inFlightAllowanceMs, timing);
	if (scope.nowMs >= freeAtMs) {
		return true;
	}

	controller.grantsDueAtMs = Math.min(controller.grantsDueAtMs, freeAtMs);
	expectWake(scope, freeAtMs);
	return false;
}

/** Builds the grant lists anew of the members whose grants changed. */
function updateOrders(controller: ControllerState): void {
	const orders = new Map([...controller.staleOrders].map((key): [string, GrantOrder[]] => [key, []]));
	for (const [id, {node, ...order}] of orders.size === 0 ? [] : controller.holders) {
		orders.get(formatNode(node))?.push({...parsePartitionId(id), ...order});
	}

	controller.staleOrders.clear();
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
	controller.staleOrders.add(formatNode(holder.node));
}

function removeHolder(controller: ControllerState, id: string, holder: Holder): void {
	controller.holders.delete(id);
	controller.staleOrders.add(formatNode(holder.node));
}

function parsePartitionId(id: string): PartitionId {
	const at = id.lastIndexOf('/');
	return {service: id.slice(0, at), partition: Number(id.slice(at + 1))};
}
