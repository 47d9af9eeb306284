import type {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {CellMessage} from '@buckthornpoint/ownership/messages.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {ResultAsync} from 'neverthrow';

/** A message to another node of the cell. */
export type OutgoingMessage = {
	readonly from: NodeIdentity;
	/** Instance of the node that the message is addressed to; undefined if the sender does not know it. */
	readonly to: NodeIdentity | undefined;
	readonly peerOrigin: string;
	readonly message: CellMessage;
};

/** A message from another node of the cell. */
export type IncomingMessage = {
	readonly from: NodeIdentity;
	readonly message: CellMessage;
};

/** Delivers messages to other nodes of the cell. */
export abstract class PeerTransport {
	/** Delivers a message and returns the immediate replies. After `ERR_PEER_UNREACHABLE` the message may still have been received. */
	abstract deliver(message: OutgoingMessage): ResultAsync<readonly IncomingMessage[], BuckthornpointError>;

	/** Closes all connections. */
	abstract close(): Promise<void>;
}
