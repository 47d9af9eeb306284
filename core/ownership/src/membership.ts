import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {isSameNode, type VmId} from '@buckthornpoint/types/identity.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {measureLongest} from './bounds.js';
import {formatNode, type ControllerState, type Session} from './cell-state.js';
import {expectWake, reportEvent, type StepScope} from './step-scope.js';

const suspicionGraceMs = 300;
const replacedAfterMs = 1000;
const forgetAfterMs = 30_000;

/** Tells slow members from lost ones: a member is lost once its lease is over and a grace has passed. */
export function updateLosses(scope: StepScope, controller: ControllerState): void {
	noteReplaced(scope, controller);
	for (const session of controller.sessions.values()) {
		const lostAtMs = findLossTime(scope, controller, session);
		if (scope.nowMs < lostAtMs && !session.superseded) {
			noteAlive(controller, session);
			expectWake(scope, lostAtMs);
			continue;
		}

		noteLost(scope, controller, session);
	}
}

/** Tells whether the member may own partitions: it runs, has a backend server, and nobody takes it away. */
export function canBear(member: Member, configuration: Configuration): boolean {
	const {backendServer} = member;
	const domain = configuration.failureDomains.find(({name}) => name === member.failureDomain);
	return member.phase === 'active' && backendServer !== undefined && !backendServer.leaving && !domain?.out
		&& !configuration.stoppingVms.includes(member.vmId) && !configuration.deadVms.includes(member.vmId);
}

/** Tells whether the controller hears of this very run of the member. */
export function isLive(controller: ControllerState, member: Member): boolean {
	const session = controller.sessions.get(formatNode(member));
	return session !== undefined && !session.lost;
}

/** Returns the members as they should be stored: described anew, joined, replaced and forgotten ones included. */
export function listWantedMembers(scope: StepScope, controller: ControllerState): readonly Member[] {
	const wanted = new Map<VmId, Member>();
	for (const member of controller.members) {
		const session = controller.sessions.get(formatNode(member));
		if (session === undefined || !isForgotten(scope, session)) {
			wanted.set(member.vmId, session?.description ?? member);
		}
	}

	for (const session of controller.sessions.values()) {
		const known = wanted.get(session.node.vmId);
		const isReplaceable = known === undefined || (!isSameNode(known, session.node) && !isLive(controller, known));
		if (isReplaceable && !session.lost && session.description !== undefined) {
			wanted.set(session.node.vmId, session.description);
		}
	}

	return [...wanted.values()].toSorted((left, right) => left.vmId < right.vmId ? -1 : 1);
}

/** A run of a node that fell silent while a later run of it reports is out, also when it returns. */
function noteReplaced(scope: StepScope, controller: ControllerState): void {
	for (const member of controller.members) {
		const session = controller.sessions.get(formatNode(member));
		const isSilent = session !== undefined && scope.nowMs - session.lastHeardAtMs > replacedAfterMs;
		if (isSilent && hasOtherRun(controller, member)) {
			session.superseded = true;
		}
	}
}

function hasOtherRun(controller: ControllerState, member: Member): boolean {
	return [...controller.sessions.values()].some(({node, lost}) => node.vmId === member.vmId && node.incarnation !== member.incarnation && !lost);
}

function findLossTime(scope: StepScope, controller: ControllerState, session: Session): number {
	const {timing} = scope.state;
	const silentMs = measureLongest(timing.leaseMs + timing.inFlightAllowanceMs, timing) + suspicionGraceMs;
	return Math.max(session.lastHeardAtMs + silentMs, controller.lossGraceUntilAtMs);
}

function noteAlive(controller: ControllerState, session: Session): void {
	if (session.lost) {
		session.lost = false;
		controller.areGrantsDue = true;
	}
}

function noteLost(scope: StepScope, controller: ControllerState, session: Session): void {
	if (!session.lost) {
		session.lost = true;
		controller.areGrantsDue = true;
		const isMember = controller.members.some(member => isSameNode(member, session.node));
		if (isMember) {
			reportEvent(scope, {name: 'member-lost', vmId: session.node.vmId});
		}
	}

	const isNeeded = controller.members.some(member => isSameNode(member, session.node))
		|| [...controller.holders.values()].some(holder => isSameNode(holder.node, session.node));
	if (!isNeeded) {
		controller.sessions.delete(formatNode(session.node));
	}
}

function isForgotten(scope: StepScope, session: Session): boolean {
	return session.lost && scope.nowMs - session.lastHeardAtMs > forgetAfterMs;
}
