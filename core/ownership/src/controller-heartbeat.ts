import {addMilliseconds} from '@buckthornpoint/clock/clock.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import {measureAuthority} from './authority.js';
import {deriveUpperBound, deriveLowerBound} from './bounds.js';
import type {ControllerState, Session} from './cell-state.js';
import {applyConfiguration} from './configuration.js';
import {applyRelease, updateGrants} from './grants.js';
import type {Heartbeat, HeartbeatReply} from './messages.js';
import {findMember, getOrCreateSession} from './sessions.js';
import type {StepScope} from './step-scope.js';

/** Number of latest replies to a member from which its promise can be counted. */
const maxStamps = 8;

/**
 * Handles a heartbeat and returns the reply: the lease, the requested promise, and the state that the member does not
 * have yet.
 */
export function handleHeartbeat(scope: StepScope, controller: ControllerState, from: NodeIdentity, heartbeat: Heartbeat): HeartbeatReply {
	const session = getOrCreateSession(controller, from);
	session.lastReceivedAtMs = scope.nowMs;
	if (session.lost && !session.superseded) {
		session.lost = false;
		controller.mustUpdateGrants = true;
	}

	recordDescription(session, heartbeat);
	recordPromise(scope, controller, session, heartbeat);
	recordReleases(scope, controller, session, heartbeat);
	if (heartbeat.configuration !== undefined) {
		applyConfiguration(scope, heartbeat.configuration);
	}

	if (controller.phase === 'active') {
		controller.minMapVersion = Math.max(controller.minMapVersion, heartbeat.mapVersion);
	}

	updateGrants(scope, controller);
	return buildReply(scope, controller, session, heartbeat);
}

function recordDescription(session: Session, heartbeat: Heartbeat): void {
	if (heartbeat.description !== undefined && heartbeat.descriptionVersion > session.descriptionVersion) {
		const {description} = heartbeat;
		session.description = description.phase === 'joining' ? {...description, phase: 'active'} : description;
		session.descriptionVersion = heartbeat.descriptionVersion;
	}

	session.configurationVersion = heartbeat.configurationVersion;
	session.mapVersion = heartbeat.mapVersion;
	session.load = heartbeat.load ?? session.load;
}

function recordPromise(scope: StepScope, controller: ControllerState, session: Session, heartbeat: Heartbeat): void {
	const stamp = session.stamps.find(({monotonicMs}) => monotonicMs === heartbeat.promisedStampMs);
	if (heartbeat.epoch !== controller.epoch || stamp === undefined) {
		return;
	}

	const {timing} = scope.state;
	const promisedUntil = addMilliseconds(stamp, deriveLowerBound(timing.promiseMs, timing));
	if (session.promisedUntil === undefined || promisedUntil.monotonicMs > session.promisedUntil.monotonicMs) {
		session.promisedUntil = promisedUntil;
	}
}

function recordReleases(scope: StepScope, controller: ControllerState, session: Session, heartbeat: Heartbeat): void {
	if (heartbeat.epoch !== controller.epoch) {
		return;
	}

	for (const release of heartbeat.released) {
		applyRelease(controller, session.node, release);
	}

	if (heartbeat.grantsVersion > 0) {
		session.confirmedGrantsVersion = heartbeat.grantsVersion;
	}
}

function buildReply(scope: StepScope, controller: ControllerState, session: Session, heartbeat: Heartbeat): HeartbeatReply {
	const {timing, configuration} = scope.state;
	const leaseMs = grantLease(scope, controller, session);
	const hasLatestGrants = heartbeat.epoch === controller.epoch && heartbeat.grantsVersion === session.grantsVersion;
	const {map, members} = controller;
	const isActive = controller.phase === 'active';
	session.stamps = [...session.stamps, scope.context.now].slice(-maxStamps);
	return {
		kind: 'heartbeat-reply',
		epoch: controller.epoch,
		sequence: heartbeat.sequence,
		sentAtMs: heartbeat.sentAtMs,
		stampMs: scope.nowMs,
		leaseMs,
		promiseMs: timing.promiseMs,
		heartbeatIntervalMs: deriveHeartbeatInterval(scope, controller),
		acknowledgedDescription: session.descriptionVersion,
		grantsVersion: session.grantsVersion,
		configurationVersion: configuration.version,
		...(isActive && !hasLatestGrants && leaseMs > 0 && {grants: session.orders}),
		...(isActive && heartbeat.mapVersion < map.version && {routing: {map, members}}),
		...(heartbeat.configurationVersion < configuration.version && {configuration}),
	};
}

/** Grants a lease that ends before the controller's authority does, and returns its length in milliseconds; 0 for none. */
function grantLease(scope: StepScope, controller: ControllerState, session: Session): number {
	const {timing} = scope.state;
	if (controller.phase !== 'active' || session.superseded || findMember(controller, session.node) === undefined) {
		return 0;
	}

	const leaseMs = Math.floor(Math.min(timing.leaseMs, deriveLowerBound(measureAuthority(scope, controller), timing)));
	if (leaseMs > 0) {
		session.leaseEndAtMs = Math.max(session.leaseEndAtMs, scope.nowMs + deriveUpperBound(leaseMs, timing));
	}

	return leaseMs;
}

function deriveHeartbeatInterval(scope: StepScope, controller: ControllerState): number {
	const {timing} = scope.state;
	const intervalMs = timing.minHeartbeatIntervalMs + (controller.members.length * timing.heartbeatIntervalPerMemberMs);
	return Math.min(timing.maxHeartbeatIntervalMs, intervalMs);
}
