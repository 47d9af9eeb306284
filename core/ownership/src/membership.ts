import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {isSameNode, type VmId} from '@buckthornpoint/types/identity.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {deriveUpperBound} from './bounds.js';
import {formatNodeKey, type ControllerState, type Session} from './cell-state.js';
import {scheduleWake, reportEvent, type StepScope} from './step-scope.js';

const lossGraceMs = 300;
const supersedeAfterSilenceMs = 1000;
const removeAfterSilenceMs = 30_000;

/**
 * Classifies members as lost once their leases have ended and a grace period has passed, so that slow members are not
 * lost.
 */
export function updateLosses(scope: StepScope, controller: ControllerState): void {
	updateSuperseded(scope, controller);
	for (const session of controller.sessions.values()) {
		const lostAtMs = findLossTime(scope, controller, session);
		if (scope.nowMs < lostAtMs && !session.superseded) {
			recordAlive(controller, session);
			scheduleWake(scope, lostAtMs);
			continue;
		}

		recordLost(scope, controller, session);
	}
}

/**
 * Returns whether the member may own partitions: it is active, has a backend server that is not leaving, and operators
 * have taken out neither its VM nor its failure domain.
 */
export function canOwnPartitions(member: Member, configuration: Configuration): boolean {
	const {backendServer} = member;
	const domain = configuration.failureDomains.find(({name}) => name === member.failureDomain);
	return member.phase === 'active' && backendServer !== undefined && !backendServer.leaving && !domain?.out
		&& !configuration.stoppingVms.includes(member.vmId) && !configuration.deadVms.includes(member.vmId);
}

/** Returns whether the controller has a session for this instance of the member and has not classified it as lost. */
export function isLive(controller: ControllerState, member: Member): boolean {
	const session = controller.sessions.get(formatNodeKey(member));
	return session !== undefined && !session.lost;
}

/**
 * Returns the member list to store: with current descriptions, with joined and replacing instances, and without members
 * that have been lost for long.
 */
export function listDesiredMembers(scope: StepScope, controller: ControllerState): readonly Member[] {
	const desired = new Map<VmId, Member>();
	for (const member of controller.members) {
		const session = controller.sessions.get(formatNodeKey(member));
		if (session === undefined || !isRemovable(scope, session)) {
			desired.set(member.vmId, session?.description ?? member);
		}
	}

	for (const session of controller.sessions.values()) {
		const known = desired.get(session.node.vmId);
		const isReplaceable = known === undefined || (!isSameNode(known, session.node) && !isLive(controller, known));
		if (isReplaceable && !session.lost && session.description !== undefined) {
			desired.set(session.node.vmId, session.description);
		}
	}

	return [...desired.values()].toSorted((left, right) => left.vmId < right.vmId ? -1 : 1);
}

/**
 * Marks a silent instance as superseded when another instance on its VM sends heartbeats. It stays superseded even if
 * it sends heartbeats again.
 */
function updateSuperseded(scope: StepScope, controller: ControllerState): void {
	for (const member of controller.members) {
		const session = controller.sessions.get(formatNodeKey(member));
		const isSilent = session !== undefined && scope.nowMs - session.lastReceivedAtMs > supersedeAfterSilenceMs;
		if (isSilent && hasOtherInstance(controller, member)) {
			session.superseded = true;
		}
	}
}

function hasOtherInstance(controller: ControllerState, member: Member): boolean {
	return [...controller.sessions.values()].some(({node, lost}) => node.vmId === member.vmId && node.incarnation !== member.incarnation && !lost);
}

function findLossTime(scope: StepScope, controller: ControllerState, session: Session): number {
	const {timing} = scope.state;
	const silentMs = deriveUpperBound(timing.leaseMs + timing.inFlightAllowanceMs, timing) + lossGraceMs;
	return Math.max(session.lastReceivedAtMs + silentMs, controller.lossGraceEndAtMs);
}

function recordAlive(controller: ControllerState, session: Session): void {
	if (session.lost) {
		session.lost = false;
		controller.mustUpdateGrants = true;
	}
}

function recordLost(scope: StepScope, controller: ControllerState, session: Session): void {
	if (!session.lost) {
		session.lost = true;
		controller.mustUpdateGrants = true;
		const isMember = controller.members.some(member => isSameNode(member, session.node));
		if (isMember) {
			reportEvent(scope, {name: 'member-lost', vmId: session.node.vmId});
		}
	}

	const isNeeded = controller.members.some(member => isSameNode(member, session.node))
		|| [...controller.holders.values()].some(holder => isSameNode(holder.node, session.node));
	if (!isNeeded) {
		controller.sessions.delete(formatNodeKey(session.node));
	}
}

function isRemovable(scope: StepScope, session: Session): boolean {
	return session.lost && scope.nowMs - session.lastReceivedAtMs > removeAfterSilenceMs;
}
