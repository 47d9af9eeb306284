import {isSameNode, type NodeIdentity} from '@buckthornpoint/types/identity.js';
import {closeController} from './create-controller.js';
import {handleHeartbeat} from './controller-heartbeat.js';
import {promiseTakeover, applyReply, replaceContact} from './member.js';
import type {
	CellMessage, Heartbeat, Refusal, TakeoverRequest,
} from './messages.js';
import {sendMessage, type StepScope} from './step-scope.js';
import {recordAgreement} from './takeover.js';

/** Handles a message from another node. */
export function handleMessage(scope: StepScope, from: NodeIdentity, message: CellMessage): void {
	const {member} = scope.state;
	switch (message.kind) {
		case 'heartbeat': {
			replyToHeartbeat(scope, from, message);
			break;
		}

		case 'heartbeat-reply': {
			applyReply(scope, from, message);
			break;
		}

		case 'takeover-request': {
			handleTakeoverRequest(scope, message);
			break;
		}

		case 'takeover-agreement': {
			recordAgreement(scope, from, message);
			break;
		}

		case 'notice': {
			if (message.epoch >= member.agreedEpoch) {
				member.nextHeartbeatAtMs = scope.nowMs;
			}

			break;
		}

		case 'refusal': {
			handleRefusal(scope, message);
			break;
		}
	}
}

/** Counts a failed delivery to the controller as a missed reply: it is a hint, not a proof, that the controller is lost. */
export function handleDeliveryFailure(scope: StepScope, peerOrigin: string, message: CellMessage): void {
	const {member, controller} = scope.state;
	if (message.kind === 'heartbeat' && controller === undefined && member.contact?.peerOrigin === peerOrigin) {
		member.missedReplies += 1;
	}
}

function replyToHeartbeat(scope: StepScope, from: NodeIdentity, heartbeat: Heartbeat): void {
	const {controller, member, node} = scope.state;
	const origin = heartbeat.description?.peerOrigin ?? findOrigin(scope, from);
	if (origin === undefined) {
		return;
	}

	if (controller !== undefined) {
		sendMessage(scope, {node: from, peerOrigin: origin}, handleHeartbeat(scope, controller, from, heartbeat));
		return;
	}

	const {contact} = member;
	const other = contact === undefined || isSameNode(contact.node, from) || isSameNode(contact.node, node) ? undefined : contact;
	sendMessage(scope, {node: from, peerOrigin: origin}, {
		kind: 'refusal', reason: 'not-controller', epoch: member.agreedEpoch, controller: other,
	});
}

function findOrigin(scope: StepScope, from: NodeIdentity): string | undefined {
	const {controller, member} = scope.state;
	const session = controller?.sessions.get(`${from.vmId}/${from.incarnation}`);
	const members = controller?.members ?? member.routing?.members ?? [];
	return session?.description?.peerOrigin ?? members.find(other => isSameNode(other, from))?.peerOrigin;
}

function handleTakeoverRequest(scope: StepScope, request: TakeoverRequest): void {
	const {controller, node} = scope.state;
	if (controller !== undefined && request.epoch > controller.epoch) {
		closeController(scope, 'another node took the lease');
	}

	if (isSameNode(request.controller, node)) {
		return;
	}

	const agreement = promiseTakeover(scope, request);
	if (agreement !== undefined) {
		sendMessage(scope, {node: request.controller, peerOrigin: request.peerOrigin}, agreement);
	}
}

function handleRefusal(scope: StepScope, refusal: Refusal): void {
	const {member, node, controller} = scope.state;
	if (controller !== undefined || refusal.epoch < member.agreedEpoch) {
		return;
	}

	member.missedReplies += 1;
	if (refusal.controller !== undefined && !isSameNode(refusal.controller.node, node)) {
		replaceContact(scope, refusal.controller);
	}
}
