import type {Timestamp} from '@buckthornpoint/clock/clock.js';
import {isSameNode} from '@buckthornpoint/types/identity.js';
import type {CellMap, Member} from '@buckthornpoint/types/membership.js';
import {measureRemaining} from './bounds.js';
import {formatNodeKey, type CellState} from './cell-state.js';
import type {CellStatus, MemberStatus} from './cell-status.js';

/** Returns the state of the node and its cell for operators. */
export function readStatus(state: CellState, now: Timestamp): CellStatus {
	const {member, controller} = state;
	const table = controller === undefined ? member.routing : {map: controller.map, members: controller.members};
	const {contact} = member;
	const controllerMember = table?.members.find(other => contact !== undefined && isSameNode(other, contact.node));
	return {
		cell: state.cell,
		node: state.node,
		role: findRole(state),
		epoch: member.agreedEpoch,
		controller: contact?.node,
		controllerOrigin: controllerMember?.callerOrigin,
		leaseRemainingMs: measureRemaining(member.leaseEnd, now),
		storeReachable: state.storeReachable,
		configurationVersion: state.configuration.version,
		mapVersion: table?.map.version ?? 0,
		members: (table?.members ?? []).map(other => readMember(state, other, table!.map, now)),
		grants: [...member.grants.values()].map(({partition, fence, releasing}) => ({partition, fence, releasing})),
	};
}

function findRole(state: CellState): CellStatus['role'] {
	if (state.controller !== undefined) {
		return state.controller.phase === 'active' ? 'controller' : 'candidate';
	}

	return state.candidate.takeover === undefined ? 'member' : 'candidate';
}

function readMember(state: CellState, member: Member, map: CellMap, now: Timestamp): MemberStatus {
	const session = state.controller?.sessions.get(formatNodeKey(member));
	const index = map.vmIds.indexOf(member.vmId);
	const owned = map.placements.map(({owners}) => owners.filter(owner => owner === index).length);
	return {
		vmId: member.vmId,
		incarnation: member.incarnation,
		failureDomain: member.failureDomain,
		phase: member.phase,
		callerOrigin: member.callerOrigin,
		backendServer: member.backendServer,
		silentForMs: session === undefined || !Number.isFinite(session.lastReceivedAtMs) ? undefined : now.monotonicMs - session.lastReceivedAtMs,
		configurationVersion: session?.configurationVersion,
		mapVersion: session?.mapVersion,
		partitionCount: index === -1 ? 0 : owned.reduce((sum, count) => sum + count, 0),
	};
}
