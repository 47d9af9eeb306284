import {
	compareFences, formatPartitionId, isSameNode, type NodeIdentity,
} from '@buckthornpoint/types/identity.js';
import type {CellMap, Member} from '@buckthornpoint/types/membership.js';
import {countTakeoverQuorum, measureLongest} from './bounds.js';
import {formatNode, type ControllerState} from './cell-state.js';
import {promiseTakeover} from './member.js';
import type {TakeoverAgreement} from './messages.js';
import type {GrantOrder} from './records.js';
import {findSession} from './sessions.js';
import {applySuccession} from './controller-handover.js';
import {expectWake, sendMessage, type StepScope} from './step-scope.js';

const requestIntervalMs = 200;
const lossGraceMs = 300;
const coldStartGraceMs = 3000;

/** Asks the row's members to agree, and begins to grant once enough did and every older lease is over. */
export function advanceTakeover(scope: StepScope, controller: ControllerState): void {
	if (controller.phase !== 'waiting') {
		return;
	}

	if (scope.nowMs >= controller.nextRequestAtMs) {
		requestAgreements(scope, controller);
		controller.nextRequestAtMs = scope.nowMs + requestIntervalMs;
	}

	if (isAgreed(scope, controller) && scope.nowMs >= controller.earliestGrantAtMs) {
		startGranting(scope, controller);
		return;
	}

	expectWake(scope, controller.nextRequestAtMs);
	if (controller.earliestGrantAtMs > scope.nowMs) {
		expectWake(scope, controller.earliestGrantAtMs);
	}
}

/** Takes in a member's agreement and waits for the promise that it reports. */
export function noteAgreement(scope: StepScope, from: NodeIdentity, agreement: TakeoverAgreement): void {
	const {controller, timing} = scope.state;
	if (controller?.epoch !== agreement.epoch || controller.phase !== 'waiting') {
		return;
	}

	const promiseEndAtMs = scope.nowMs + measureLongest(agreement.remainingPromiseMs + timing.inFlightAllowanceMs, timing);
	if (agreement.remainingPromiseMs > 0 && !controller.isSuccession) {
		controller.earliestGrantAtMs = Math.max(controller.earliestGrantAtMs, promiseEndAtMs);
	}

	controller.agreements.set(formatNode(from), agreement);
	controller.minMapVersion = Math.max(controller.minMapVersion, agreement.mapVersion);
	findSession(controller, from).lastHeardAtMs = scope.nowMs;
}

function requestAgreements(scope: StepScope, controller: ControllerState): void {
	const {node, member} = scope.state;
	const request = {
		kind: 'takeover-request', epoch: controller.epoch, controller: node, peerOrigin: member.description.peerOrigin,
	} as const;
	const own = controller.agreements.has(formatNode(node)) ? undefined : promiseTakeover(scope, request);
	if (own !== undefined) {
		noteAgreement(scope, node, own);
	}

	for (const other of controller.members) {
		if (!controller.agreements.has(formatNode(other)) && !isSameNode(other, node)) {
			sendMessage(scope, {peerOrigin: other.peerOrigin}, request);
		}
	}
}

function isAgreed(scope: StepScope, controller: ControllerState): boolean {
	const {members, agreements} = controller;
	const {deadVms} = scope.state.configuration;
	const agreed = members.filter(member => agreements.has(formatNode(member)));
	const dead = members.filter(member => deadVms.includes(member.vmId) && !agreed.includes(member));
	const quorum = countTakeoverQuorum(members.length);
	if (agreed.length >= quorum || controller.isMajorityNeedless) {
		return true;
	}

	const restarted = agreed.length === 0 ? listRestarted(controller) : [];
	const gone = [...new Set([...dead, ...restarted])];
	return agreed.length + gone.length >= quorum && hasWaitedForGone(scope, controller, gone);
}

/** Members whose VMs run other processes by now. They count only when no run that the row names answers. */
function listRestarted(controller: ControllerState): readonly Member[] {
	const agreedVms = new Set([...controller.agreements.keys()].map(key => key.slice(0, key.lastIndexOf('/'))));
	return controller.members.filter(({vmId}) => agreedVms.has(vmId));
}

/** Whoever cannot be asked any more may have promised until just before it was known to be gone. */
function hasWaitedForGone(scope: StepScope, controller: ControllerState, gone: readonly Member[]): boolean {
	const {timing} = scope.state;
	for (const member of gone.filter(other => !controller.goneSince.has(formatNode(other)))) {
		controller.goneSince.set(formatNode(member), scope.nowMs);
	}

	const since = Math.max(...gone.map(member => controller.goneSince.get(formatNode(member)) ?? scope.nowMs));
	const endAtMs = since + measureLongest(timing.promiseMs + timing.inFlightAllowanceMs, timing);
	if (scope.nowMs >= endAtMs) {
		return true;
	}

	expectWake(scope, endAtMs);
	return false;
}

function startGranting(scope: StepScope, controller: ControllerState): void {
	const isCold = !controller.members.some(member => controller.agreements.has(formatNode(member)));
	controller.phase = 'active';
	controller.lossGraceUntilAtMs = scope.nowMs + (isCold ? coldStartGraceMs : lossGraceMs);
	for (const member of controller.members) {
		findSession(controller, member);
	}

	if (controller.isSuccession) {
		applySuccession(scope, controller);
	} else {
		applyHeld(controller);
	}

	controller.areGrantsDue = true;
}

/** Learns assignments of an outage: the latest fence of a partition tells who held it last. */
function applyHeld(controller: ControllerState): void {
	const latest = new Map<string, {readonly node: NodeIdentity; readonly order: GrantOrder}>();
	for (const [key, agreement] of controller.agreements) {
		const member = controller.members.find(other => formatNode(other) === key);
		for (const order of member === undefined ? [] : agreement.held) {
			const id = formatPartitionId(order);
			const known = latest.get(id);
			if (known === undefined || compareFences(known.order.fence, order.fence) < 0) {
				latest.set(id, {node: {vmId: member!.vmId, incarnation: member!.incarnation}, order});
			}
		}
	}

	notePredecessors(controller, latest);
	controller.map = mergeHeld(controller, latest);
}

function notePredecessors(controller: ControllerState, latest: ReadonlyMap<string, {readonly node: NodeIdentity}>): void {
	for (const {service, owners} of controller.map.placements) {
		for (const [partition, owner] of owners.entries()) {
			const id = formatPartitionId({service, partition});
			const stored = controller.members.find(member => member.vmId === controller.map.vmIds[owner]);
			const node = latest.get(id)?.node ?? (stored && {vmId: stored.vmId, incarnation: stored.incarnation});
			controller.predecessors.set(id, node && {node, released: false});
		}
	}
}

function mergeHeld(controller: ControllerState, latest: ReadonlyMap<string, {readonly node: NodeIdentity}>): CellMap {
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
	return member !== undefined && controller.agreements.has(formatNode(member));
}
