import {
	compareFences, formatPartitionId, isSameNode, type NodeIdentity,
} from '@buckthornpoint/types/identity.js';
import type {CellMap, Member} from '@buckthornpoint/types/membership.js';
import {countTakeoverQuorum, deriveUpperBound} from './bounds.js';
import {formatNodeKey, type ControllerState} from './cell-state.js';
import {promiseTakeover} from './member.js';
import type {TakeoverAgreement} from './messages.js';
import type {GrantOrder} from './records.js';
import {getOrCreateSession} from './sessions.js';
import {applyHandover} from './controller-handover.js';
import {scheduleWake, sendMessage, type StepScope} from './step-scope.js';

const requestIntervalMs = 200;
const takeoverLossGraceMs = 300;
const coldStartLossGraceMs = 3000;

/**
 * Requests the agreement of the members in the cell row, and starts granting once a quorum has agreed and every older
 * lease has ended.
 */
export function advanceTakeover(scope: StepScope, controller: ControllerState): void {
	if (controller.phase !== 'waiting') {
		return;
	}

	if (scope.nowMs >= controller.nextRequestAtMs) {
		requestAgreements(scope, controller);
		controller.nextRequestAtMs = scope.nowMs + requestIntervalMs;
	}

	if (hasQuorum(scope, controller) && scope.nowMs >= controller.earliestGrantAtMs) {
		startGranting(scope, controller);
		return;
	}

	scheduleWake(scope, controller.nextRequestAtMs);
	if (controller.earliestGrantAtMs > scope.nowMs) {
		scheduleWake(scope, controller.earliestGrantAtMs);
	}
}

/**
 * Records a member's agreement. Unless the previous controller had resigned, grants are delayed until the promise that
 * the member reports has ended.
 */
export function recordAgreement(scope: StepScope, from: NodeIdentity, agreement: TakeoverAgreement): void {
	const {controller, timing} = scope.state;
	if (controller?.epoch !== agreement.epoch || controller.phase !== 'waiting') {
		return;
	}

	const promiseEndAtMs = scope.nowMs + deriveUpperBound(agreement.remainingPromiseMs + timing.inFlightAllowanceMs, timing);
	if (agreement.remainingPromiseMs > 0 && !controller.isHandover) {
		controller.earliestGrantAtMs = Math.max(controller.earliestGrantAtMs, promiseEndAtMs);
	}

	controller.agreements.set(formatNodeKey(from), agreement);
	controller.minMapVersion = Math.max(controller.minMapVersion, agreement.mapVersion);
	getOrCreateSession(controller, from).lastReceivedAtMs = scope.nowMs;
}

function requestAgreements(scope: StepScope, controller: ControllerState): void {
	const {node, member} = scope.state;
	const request = {
		kind: 'takeover-request', epoch: controller.epoch, controller: node, peerOrigin: member.description.peerOrigin,
	} as const;
	const own = controller.agreements.has(formatNodeKey(node)) ? undefined : promiseTakeover(scope, request);
	if (own !== undefined) {
		recordAgreement(scope, node, own);
	}

	for (const other of controller.members) {
		if (!controller.agreements.has(formatNodeKey(other)) && !isSameNode(other, node)) {
			sendMessage(scope, {peerOrigin: other.peerOrigin}, request);
		}
	}
}

function hasQuorum(scope: StepScope, controller: ControllerState): boolean {
	const {members, agreements} = controller;
	const {deadVms} = scope.state.configuration;
	const agreed = members.filter(member => agreements.has(formatNodeKey(member)));
	const dead = members.filter(member => deadVms.includes(member.vmId) && !agreed.includes(member));
	const quorum = countTakeoverQuorum(members.length);
	if (agreed.length >= quorum || controller.isQuorumWaived) {
		return true;
	}

	const restarted = agreed.length === 0 ? listRestarted(controller) : [];
	const terminated = [...new Set([...dead, ...restarted])];
	return agreed.length + terminated.length >= quorum && hasWaitedForTerminated(scope, controller, terminated);
}

/**
 * Lists the members in the cell row whose VMs run other node instances now. They count towards the quorum only when none
 * of the instances in the cell row has agreed.
 */
function listRestarted(controller: ControllerState): readonly Member[] {
	const agreedVms = new Set([...controller.agreements.keys()].map(key => key.slice(0, key.lastIndexOf('/'))));
	return controller.members.filter(({vmId}) => agreedVms.has(vmId));
}

/**
 * Returns whether the promises of terminated members, and the requests that ran under them, have ended. These members
 * cannot report their promises: one may have been made until just before the termination became known.
 */
function hasWaitedForTerminated(scope: StepScope, controller: ControllerState, terminated: readonly Member[]): boolean {
	const {timing} = scope.state;
	for (const member of terminated.filter(other => !controller.terminatedSince.has(formatNodeKey(other)))) {
		controller.terminatedSince.set(formatNodeKey(member), scope.nowMs);
	}

	const since = Math.max(...terminated.map(member => controller.terminatedSince.get(formatNodeKey(member)) ?? scope.nowMs));
	const endAtMs = since + deriveUpperBound(timing.promiseMs + timing.inFlightAllowanceMs, timing);
	if (scope.nowMs >= endAtMs) {
		return true;
	}

	scheduleWake(scope, endAtMs);
	return false;
}

function startGranting(scope: StepScope, controller: ControllerState): void {
	const isCold = !controller.members.some(member => controller.agreements.has(formatNodeKey(member)));
	controller.phase = 'active';
	controller.lossGraceEndAtMs = scope.nowMs + (isCold ? coldStartLossGraceMs : takeoverLossGraceMs);
	for (const member of controller.members) {
		getOrCreateSession(controller, member);
	}

	if (controller.isHandover) {
		applyHandover(scope, controller);
	} else {
		applyHeldGrants(controller);
	}

	controller.mustUpdateGrants = true;
}

/** Applies assignments made during a store outage: the holder with the latest fence of a partition is its last owner. */
function applyHeldGrants(controller: ControllerState): void {
	const latest = new Map<string, {readonly node: NodeIdentity; readonly order: GrantOrder}>();
	for (const [key, agreement] of controller.agreements) {
		const member = controller.members.find(other => formatNodeKey(other) === key);
		for (const order of member === undefined ? [] : agreement.held) {
			const id = formatPartitionId(order);
			const known = latest.get(id);
			if (known === undefined || compareFences(known.order.fence, order.fence) < 0) {
				latest.set(id, {node: {vmId: member!.vmId, incarnation: member!.incarnation}, order});
			}
		}
	}

	recordPredecessors(controller, latest);
	controller.map = mergeHeldGrants(controller, latest);
}

function recordPredecessors(controller: ControllerState, latest: ReadonlyMap<string, {readonly node: NodeIdentity}>): void {
	for (const {service, owners} of controller.map.placements) {
		for (const [partition, owner] of owners.entries()) {
			const id = formatPartitionId({service, partition});
			const stored = controller.members.find(member => member.vmId === controller.map.vmIds[owner]);
			const node = latest.get(id)?.node ?? (stored && {vmId: stored.vmId, incarnation: stored.incarnation});
			controller.predecessors.set(id, node && {node, released: false});
		}
	}
}

function mergeHeldGrants(controller: ControllerState, latest: ReadonlyMap<string, {readonly node: NodeIdentity}>): CellMap {
	const {map} = controller;
	let isChanged = false;
	const placements = map.placements.map(placement => ({
		...placement,
		owners: placement.owners.map((owner, partition) => {
			const held = latest.get(formatPartitionId({service: placement.service, partition}))?.node;
			const stored = controller.members.find(member => member.vmId === map.vmIds[owner]);
			const index = held === undefined ? -1 : map.vmIds.indexOf(held.vmId);
			const isOverridden = index !== -1 && index !== owner && !hasAgreed(controller, stored);
			isChanged ||= isOverridden;
			return isOverridden ? index : owner;
		}),
	}));
	const version = Math.max(map.version, controller.minMapVersion) + 1;
	return isChanged ? {version, vmIds: map.vmIds, placements} : map;
}

function hasAgreed(controller: ControllerState, member: Member | undefined): boolean {
	return member !== undefined && controller.agreements.has(formatNodeKey(member));
}
