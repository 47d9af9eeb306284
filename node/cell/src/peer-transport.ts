import type {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {CellMessage} from '@buckthornpoint/ownership/messages.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {ResultAsync} from 'neverthrow';

/** A message for another node of the cell. */
export type OutgoingMessage = {
	readonly from: NodeIdentity;
	/** Run of the node that is meant; undefined when the sender does not know it. */
	readonly to: NodeIdentity | undefined;
	readonly peerOrigin: string;
	readonly message: CellMessage;
};

/** A message of another node of the cell. */
export type IncomingMessage = {
	readonly from: NodeIdentity;
	readonly message: CellMessage;
};

/** Delivers messages to other nodes of the cell. */
export abstract class PeerTransport {
	/** Delivers a message and returns what the receiver answered at once. Fails with `ERR_PEER_UNREACHABLE`: a hint, not a proof. */
	abstract deliver(message: OutgoingMessage): ResultAsync<readonly IncomingMessage[], BuckthornpointError>;

	/** Gives up all connections. */
	abstract close(): Promise<void>;
}
