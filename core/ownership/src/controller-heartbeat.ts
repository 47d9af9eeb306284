import {addMilliseconds} from '@buckthornpoint/clock/clock.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import {measureAuthority} from './authority.js';
import {measureLongest, measureShortest} from './bounds.js';
import type {ControllerState, Session} from './cell-state.js';
import {applyConfiguration} from './configuration.js';
import {noteReleased, updateGrants} from './grants.js';
import type {Heartbeat, HeartbeatReply} from './messages.js';
import {findMember, findSession} from './sessions.js';
import type {StepScope} from './step-scope.js';

const keptStamps = 8;

/** Takes in a heartbeat and returns the reply: the lease, the promise asked for, and what the member lacks. */
export function handleHeartbeat(scope: StepScope, controller: ControllerState, from: NodeIdentity, heartbeat: Heartbeat): HeartbeatReply {
	const session = findSession(controller, from);
	session.lastHeardAtMs = scope.nowMs;
	if (session.lost && !session.superseded) {
		session.lost = false;
		controller.areGrantsDue = true;
	}

	noteDescription(session, heartbeat);
	notePromise(scope, controller, session, heartbeat);
	noteReleases(scope, controller, session, heartbeat);
	if (heartbeat.configuration !== undefined) {
		applyConfiguration(scope, heartbeat.configuration);
	}

	if (controller.phase === 'active') {
		controller.minMapVersion = Math.max(controller.minMapVersion, heartbeat.mapVersion);
	}

	updateGrants(scope, controller);
	return buildReply(scope, controller, session, heartbeat);
}

function noteDescription(session: Session, heartbeat: Heartbeat): void {
	if (heartbeat.description !== undefined && heartbeat.descriptionVersion > session.descriptionVersion) {
		const {description} = heartbeat;
		session.description = description.phase === 'joining' ? {...description, phase: 'active'} : description;
		session.descriptionVersion = heartbeat.descriptionVersion;
	}

	session.configurationVersion = heartbeat.configurationVersion;
	session.mapVersion = heartbeat.mapVersion;
	session.load = heartbeat.load ?? session.load;
}

function notePromise(scope: StepScope, controller: ControllerState, session: Session, heartbeat: Heartbeat): void {
	const stamp = session.stamps.find(({monotonicMs}) => monotonicMs === heartbeat.promisedStampMs);
	if (heartbeat.epoch !== controller.epoch || stamp === undefined) {
		return;
	}

	const {timing} = scope.state;
	const promisedUntil = addMilliseconds(stamp, measureShortest(timing.promiseMs, timing));
	if (session.promisedUntil === undefined || promisedUntil.monotonicMs > session.promisedUntil.monotonicMs) {
		session.promisedUntil = promisedUntil;
	}
}

function noteReleases(scope: StepScope, controller: ControllerState, session: Session, heartbeat: Heartbeat): void {
	if (heartbeat.epoch !== controller.epoch) {
		return;
	}

	for (const release of heartbeat.released) {
		noteReleased(controller, session.node, release);
	}

	if (heartbeat.grantsVersion > 0) {
		session.knownGrantsVersion = heartbeat.grantsVersion;
	}
}

function buildReply(scope: StepScope, controller: ControllerState, session: Session, heartbeat: Heartbeat): HeartbeatReply {
	const {timing, configuration} = scope.state;
	const leaseMs = grantLease(scope, controller, session);
	const isTold = heartbeat.epoch === controller.epoch && heartbeat.grantsVersion === session.grantsVersion;
	const {map, members} = controller;
	const isActive = controller.phase === 'active';
	session.stamps = [...session.stamps, scope.context.now].slice(-keptStamps);
	return {
		kind: 'heartbeat-reply',
		epoch: controller.epoch,
		sequence: heartbeat.sequence,
		sentAtMs: heartbeat.sentAtMs,
		stampMs: scope.nowMs,
		leaseMs,
		promiseMs: timing.promiseMs,
		heartbeatIntervalMs: findInterval(scope, controller),
		acknowledgedDescription: session.descriptionVersion,
		grantsVersion: session.grantsVersion,
		configurationVersion: configuration.version,
		...(isActive && !isTold && leaseMs > 0 && {grants: session.orders}),
		...(isActive && heartbeat.mapVersion < map.version && {routing: {map, members}}),
		...(heartbeat.configurationVersion < configuration.version && {configuration}),
	};
}

/** Returns the length of the lease: it never outlasts the authority. */
function grantLease(scope: StepScope, controller: ControllerState, session: Session): number {
	const {timing} = scope.state;
	if (controller.phase !== 'active' || session.superseded || findMember(controller, session.node) === undefined) {
		return 0;
	}

	const leaseMs = Math.floor(Math.min(timing.leaseMs, measureShortest(measureAuthority(scope, controller), timing)));
	if (leaseMs > 0) {
		session.leaseUntilAtMs = Math.max(session.leaseUntilAtMs, scope.nowMs + measureLongest(leaseMs, timing));
	}

	return leaseMs;
}

function findInterval(scope: StepScope, controller: ControllerState): number {
	const {timing} = scope.state;
	const intervalMs = timing.minHeartbeatIntervalMs + (controller.members.length * timing.heartbeatIntervalPerMemberMs);
	return Math.min(timing.maxHeartbeatIntervalMs, intervalMs);
}
