import {formatPartitionId} from '@buckthornpoint/types/identity.js';
import {formatNodeKey, type ControllerState} from './cell-state.js';
import type {CellWrite} from './records.js';
import {
	createWriteId, scheduleWake, sendMessage, type StepScope,
} from './step-scope.js';

const resignTimeoutMs = 2000;

/**
 * Returns whether a controller that is stopping may resign now: it holds no partition itself, none is being handed over,
 * all owners in the stored map hold their partitions and have confirmed their grants, and the outcome of every write is
 * known.
 */
export function mayResign(scope: StepScope, controller: ControllerState): boolean {
	const {member} = scope.state;
	return member.stopping
		&& member.grants.size === 0
		&& controller.phase === 'active'
		&& controller.pending.length === 0
		&& controller.rows.cell.value?.map.version === controller.map.version
		&& isSettled(controller);
}

/** Builds the write by which the controller resigns. The controller grants nothing after sending it. */
export function buildResignation(scope: StepScope, controller: ControllerState): CellWrite {
	return {
		writeId: createWriteId(scope),
		leaseVersion: controller.rows.lease.version,
		cellVersion: controller.rows.cell.version,
		lease: {
			...controller.lease, renewal: controller.lease.renewal + 1, authorityMs: 0, resigned: true,
		},
	};
}

/**
 * Completes the resignation, whether or not the write took effect, and notifies the members so that they look for the
 * next controller.
 */
export function stopResigning(scope: StepScope, controller: ControllerState): void {
	controller.phase = 'resigned';
	for (const member of controller.members) {
		if (member.vmId !== scope.state.node.vmId) {
			sendMessage(scope, {node: member, peerOrigin: member.peerOrigin}, {
				kind: 'refusal', reason: 'not-controller', epoch: controller.epoch,
			});
		}
	}
}

/** Returns whether a controller that is stopping has waited for its resignation up to the time-out. */
export function hasResignTimeoutPassed(scope: StepScope, controller: ControllerState): boolean {
	controller.resignDeadlineAtMs ??= scope.nowMs + resignTimeoutMs;
	scheduleWake(scope, controller.resignDeadlineAtMs);
	return scope.nowMs >= controller.resignDeadlineAtMs;
}

function isSettled(controller: ControllerState): boolean {
	const {map, members, holders, sessions} = controller;
	const owners = new Map(map.placements.flatMap(({service, owners: indices}) => indices.map((owner, partition): [string, string | undefined] =>
		[formatPartitionId({service, partition}), map.vmIds[owner]])));
	const isHeld = [...owners].every(([id, vmId]) => vmId === undefined || holders.has(id));
	return isHeld && [...holders].every(([id, {node, release}]) => {
		const isMember = members.some(member => member.vmId === node.vmId && member.incarnation === node.incarnation);
		const session = sessions.get(formatNodeKey(node));
		const isConfirmed = session !== undefined && session.confirmedGrantsVersion === session.grantsVersion;
		return !release && isMember && isConfirmed && owners.get(id) === node.vmId;
	});
}
