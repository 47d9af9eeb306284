import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {Fence, NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {Node} from './generated/buckthornpoint/v1/cell_pb.js';
import type {Fence as WireFence} from './generated/buckthornpoint/v1/peer_pb.js';

/** The fields of a fence in its wire format. */
export type FenceFields = {
	readonly epoch: bigint;
	readonly counter: bigint;
};

/** Converts a fence to its wire format. */
export function encodeFence({epoch, counter}: Fence): FenceFields {
	return {epoch: BigInt(epoch), counter: BigInt(counter)};
}

/** Converts a fence from its wire format. Throws `ERR_DOCUMENT_VALUE` when it is absent. */
export function decodeFence(fence: WireFence | undefined): Fence {
	const {epoch, counter} = expectPresent(fence, 'fence');
	return {epoch: Number(epoch), counter: Number(counter)};
}

/** Converts the identity of a node to its wire format. */
export function encodeNode({vmId, incarnation}: NodeIdentity): NodeIdentity {
	return {vmId, incarnation};
}

/** Converts the identity of a node from its wire format. Throws `ERR_DOCUMENT_VALUE` when it is absent. */
export function decodeNode(node: Node | undefined): NodeIdentity {
	const {vmId, incarnation} = expectPresent(node, 'node');
	return {vmId, incarnation};
}

/** Returns the value, or throws `ERR_DOCUMENT_VALUE` if the field `name` is absent from the message. */
export function expectPresent<T>(value: T | undefined, name: string): T {
	if (value === undefined) {
		throw new BuckthornpointError('ERR_DOCUMENT_VALUE', `the message has no ${name}`);
	}

	return value;
}

/** Returns the string as one of the known literals, or throws `ERR_DOCUMENT_VALUE` if it is none of them. */
export function expectLiteral<Literal extends string>(value: string, known: readonly Literal[]): Literal {
	return expectPresent(known.find(literal => literal === value), `valid enum value: got "${value}"`);
}
