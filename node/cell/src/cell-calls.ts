import {Code, ConnectError, type ConnectRouter} from '@connectrpc/connect';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import {decodeControlMessage, encodeControlMessage} from '@buckthornpoint/protocol/control-message.js';
import {PeerService, type DeliverRequest} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import type {CellMessage} from '@buckthornpoint/ownership/messages.js';
import type {IncomingMessage} from './peer-transport.js';

/** Handles messages from other nodes. Implemented by `CellTask`. */
export type MessageReceiver = {
	readonly node: NodeIdentity;
	/** Handles a message and returns the immediate replies to its sender. */
	handleMessage(incoming: IncomingMessage): Promise<readonly CellMessage[]>;
};

/** Registers the call with which other nodes of the cell deliver messages. */
export function registerCellCalls(connectRouter: ConnectRouter, receiver: MessageReceiver): void {
	connectRouter.rpc(PeerService.method.deliver, async request => {
		const answers = await receiver.handleMessage(decodeDelivery(request, receiver.node));
		return {
			messages: answers.map(message => ({payload: encodeControlMessage({from: receiver.node, message})})),
		};
	});
}

function decodeDelivery({fromVmId, fromIncarnation, message}: DeliverRequest, node: NodeIdentity): IncomingMessage {
	const decoded = decodeControlMessage(message?.payload ?? new Uint8Array());
	if (decoded.isErr()) {
		throw new ConnectError(decoded.error.message, Code.InvalidArgument);
	}

	const {toIncarnation} = decoded.value;
	if (toIncarnation !== undefined && toIncarnation !== node.incarnation) {
		throw new ConnectError('the message is meant for another incarnation of this node', Code.FailedPrecondition);
	}

	return {from: {vmId: fromVmId, incarnation: fromIncarnation}, message: decoded.value.message};
}
