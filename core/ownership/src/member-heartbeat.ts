import {isSameNode} from '@buckthornpoint/types/identity.js';
import type {ControllerContact} from './cell-state.js';
import type {Heartbeat} from './messages.js';
import {scheduleWake, sendMessage, type StepScope} from './step-scope.js';

const maxSentHeartbeats = 16;

/** Sends a heartbeat when one is due or the last one was not answered in time. */
export function advanceHeartbeat(scope: StepScope): void {
	const {member, node} = scope.state;
	if (member.contact === undefined || isSameNode(member.contact.node, node)) {
		return;
	}

	if (scope.nowMs >= member.nextHeartbeatAtMs) {
		sendHeartbeat(scope, member.contact);
	}

	scheduleWake(scope, member.nextHeartbeatAtMs);
}

/** Creates the next heartbeat and records when it is sent. */
export function buildHeartbeat(scope: StepScope): Heartbeat {
	const {member, configuration} = scope.state;
	member.sequence += 1;
	member.sent.set(member.sequence, scope.context.now);
	member.sent.delete(member.sequence - maxSentHeartbeats);
	const isDescriptionAcknowledged = member.acknowledgedDescription >= member.descriptionVersion;
	const mustSendConfiguration = member.controllerConfigurationVersion < configuration.version;
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
		...(!isDescriptionAcknowledged && {description: member.description}),
		...(member.load !== undefined && {load: member.load}),
		...(mustSendConfiguration && {configuration}),
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
