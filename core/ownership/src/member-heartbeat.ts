import {isSameNode} from '@buckthornpoint/types/identity.js';
import type {ControllerContact} from './cell-state.js';
import type {Heartbeat} from './messages.js';
import {expectWake, sendMessage, type StepScope} from './step-scope.js';

const keptHeartbeats = 16;

/** Sends the heartbeat that is due, or sends one again that was not answered in time. */
export function advanceHeartbeat(scope: StepScope): void {
	const {member, node} = scope.state;
	if (member.contact === undefined || isSameNode(member.contact.node, node)) {
		return;
	}

	if (scope.nowMs >= member.nextHeartbeatAtMs) {
		sendHeartbeat(scope, member.contact);
	}

	expectWake(scope, member.nextHeartbeatAtMs);
}

/** Creates the next heartbeat and keeps the moment of its sending. */
export function buildHeartbeat(scope: StepScope): Heartbeat {
	const {member, configuration} = scope.state;
	member.sequence += 1;
	member.sent.set(member.sequence, scope.context.now);
	member.sent.delete(member.sequence - keptHeartbeats);
	const isDescribed = member.acknowledgedDescription >= member.descriptionVersion;
	const mustTeach = member.controllerConfigurationVersion < configuration.version;
	return {
		kind: 'heartbeat',
		epoch: member.agreedEpoch,
		sequence: member.sequence,
		sentAtMs: scope.nowMs,
		promisedStampMs: member.promisedStampMs,
		grantsVersion: member.grantsEpoch === member.agreedEpoch ? member.grantsVersion : 0,
		mapVersion: member.routing?.map.version ?? 0,
		configurationVersion: configuration.version,
		released: member.released,
		descriptionVersion: member.descriptionVersion,
		...(!isDescribed && {description: member.description}),
		...(member.load !== undefined && {load: member.load}),
		...(mustTeach && {configuration}),
	};
}

function sendHeartbeat(scope: StepScope, contact: ControllerContact): void {
	const {member, timing} = scope.state;
	const awaitedSince = member.awaitedSequence === undefined ? undefined : member.sent.get(member.awaitedSequence);
	if (awaitedSince !== undefined && scope.nowMs >= awaitedSince.monotonicMs + timing.heartbeatTimeoutMs) {
		member.missedReplies += 1;
	}

	const heartbeat = buildHeartbeat(scope);
	member.awaitedSequence = heartbeat.sequence;
	member.load = undefined;
	member.nextHeartbeatAtMs = scope.nowMs + timing.heartbeatTimeoutMs;
	sendMessage(scope, contact, heartbeat);
}
