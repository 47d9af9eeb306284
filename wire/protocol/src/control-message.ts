import {
	create, fromBinary, toBinary, type MessageInitShape,
} from '@bufbuild/protobuf';
import {BuckthornpointError, toBuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {CellMessage, Refusal, TakeoverAgreement} from '@buckthornpoint/ownership/messages.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import {Result} from 'neverthrow';
import {
	decodeGrantOrder, decodeHeartbeat, decodeHeartbeatReply, encodeGrantOrder, encodeHeartbeat, encodeHeartbeatReply,
} from './convert-heartbeat.js';
import {
	decodeNode, encodeNode, expectLiteral,
} from './convert-identity.js';
import {
	ControlMessageSchema, type ControlMessage, type Refusal as WireRefusal, type TakeoverAgreement as WireTakeoverAgreement,
} from './generated/buckthornpoint/v1/cell_pb.js';

/** A control message of the cell, with its sender and the receiver that it is addressed to. */
export type ControlEnvelope = {
	/** Sender of a reply. Not set in calls, because `DeliverRequest` names the sender. */
	readonly from?: NodeIdentity;
	/** Incarnation of the receiver that the message is addressed to, if the sender knows it. */
	readonly toIncarnation?: string;
	readonly message: CellMessage;
};

type Body = NonNullable<MessageInitShape<typeof ControlMessageSchema>['body']>;

const refusalReasons: ReadonlyArray<Refusal['reason']> = ['older-epoch', 'not-controller', 'other-incarnation'];

/** Encodes a control message of the cell. */
export function encodeControlMessage({from, toIncarnation, message}: ControlEnvelope): Uint8Array {
	return toBinary(ControlMessageSchema, create(ControlMessageSchema, {
		from: from && encodeNode(from), toIncarnation, body: encodeBody(message),
	}));
}

/** Decodes a control message of the cell. Fails with `ERR_DOCUMENT_VALUE`. */
export function decodeControlMessage(bytes: Uint8Array): Result<ControlEnvelope, BuckthornpointError> {
	return Result.fromThrowable(() => {
		const {from, toIncarnation, body} = fromBinary(ControlMessageSchema, bytes);
		return {from: from && decodeNode(from), toIncarnation: toIncarnation === '' ? undefined : toIncarnation, message: decodeBody(body)};
	}, thrown => toBuckthornpointError(thrown, 'ERR_DOCUMENT_VALUE'))();
}

function encodeBody(message: CellMessage): Body {
	switch (message.kind) {
		case 'heartbeat': {
			return {case: 'heartbeat', value: encodeHeartbeat(message)};
		}

		case 'heartbeat-reply': {
			return {case: 'heartbeatReply', value: encodeHeartbeatReply(message)};
		}

		case 'takeover-request': {
			const {epoch, controller, peerOrigin} = message;
			return {case: 'takeoverRequest', value: {epoch: BigInt(epoch), controller: encodeNode(controller), peerOrigin}};
		}

		case 'takeover-agreement': {
			return encodeAgreement(message);
		}

		case 'notice': {
			return {case: 'notice', value: {epoch: BigInt(message.epoch)}};
		}

		case 'refusal': {
			return encodeRefusal(message);
		}
	}
}

function encodeAgreement(agreement: TakeoverAgreement): Body {
	return {
		case: 'takeoverAgreement',
		value: {
			epoch: BigInt(agreement.epoch),
			remainingPromiseMs: agreement.remainingPromiseMs,
			held: agreement.held.map(order => encodeGrantOrder(order)),
			mapVersion: BigInt(agreement.mapVersion),
			configurationVersion: BigInt(agreement.configurationVersion),
		},
	};
}

function encodeRefusal({reason, epoch, controller}: Refusal): Body {
	return {
		case: 'refusal',
		value: {
			reason,
			epoch: BigInt(epoch),
			controller: controller && {node: encodeNode(controller.node), peerOrigin: controller.peerOrigin},
		},
	};
}

function decodeBody(body: ControlMessage['body']): CellMessage {
	switch (body.case) {
		case 'heartbeat': {
			return decodeHeartbeat(body.value);
		}

		case 'heartbeatReply': {
			return decodeHeartbeatReply(body.value);
		}

		case 'takeoverRequest': {
			const {epoch, controller, peerOrigin} = body.value;
			return {
				kind: 'takeover-request', epoch: Number(epoch), controller: decodeNode(controller), peerOrigin,
			};
		}

		case 'takeoverAgreement': {
			return decodeAgreement(body.value);
		}

		case 'notice': {
			return {kind: 'notice', epoch: Number(body.value.epoch)};
		}

		case 'refusal': {
			return decodeRefusal(body.value);
		}

		case undefined: {
			throw new BuckthornpointError('ERR_DOCUMENT_VALUE', 'the message has no body');
		}
	}
}

function decodeAgreement(agreement: WireTakeoverAgreement): TakeoverAgreement {
	return {
		kind: 'takeover-agreement',
		epoch: Number(agreement.epoch),
		remainingPromiseMs: agreement.remainingPromiseMs,
		held: agreement.held.map(order => decodeGrantOrder(order)),
		mapVersion: Number(agreement.mapVersion),
		configurationVersion: Number(agreement.configurationVersion),
	};
}

function decodeRefusal({reason, epoch, controller}: WireRefusal): Refusal {
	const refusal: Refusal = {kind: 'refusal', reason: expectLiteral(reason, refusalReasons), epoch: Number(epoch)};
	return controller === undefined ? refusal : {...refusal, controller: {node: decodeNode(controller.node), peerOrigin: controller.peerOrigin}};
}
