import {
	create, fromBinary, toBinary, type MessageInitShape,
} from '@bufbuild/protobuf';
import {toBuckthornpointError, type BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {
	BackendServer, Member, MemberPhase, RoutingTable, ServicePlacement,
} from '@buckthornpoint/types/membership.js';
import {Result} from 'neverthrow';
import {decodeNode, encodeNode, expectLiteral} from './convert-identity.js';
import {
	RoutingTableSchema, type BackendServer as WireBackendServer, type Member as WireMember, type MemberSchema,
	type RoutingTable as WireRoutingTable, type ServicePlacement as WireServicePlacement,
} from './generated/buckthornpoint/v1/cell_pb.js';

const phases: readonly MemberPhase[] = ['joining', 'active', 'leaving'];

/** Encodes a routing table as the content of its object in the object store. */
export function encodeRoutingObject(table: RoutingTable): Uint8Array {
	return toBinary(RoutingTableSchema, create(RoutingTableSchema, encodeRoutingTable(table)));
}

/** Decodes a routing table from the content of its object in the object store. Fails with `ERR_DOCUMENT_VALUE`. */
export function decodeRoutingObject(bytes: Uint8Array): Result<RoutingTable, BuckthornpointError> {
	return Result.fromThrowable(
		() => decodeRoutingTable(fromBinary(RoutingTableSchema, bytes)),
		thrown => toBuckthornpointError(thrown, 'ERR_DOCUMENT_VALUE'),
	)();
}

/** Converts a routing table to its wire format. */
export function encodeRoutingTable({map, members}: RoutingTable): MessageInitShape<typeof RoutingTableSchema> {
	return {
		version: BigInt(map.version),
		vmIds: [...map.vmIds],
		placements: map.placements.map(({service, owners, exceptions}) => ({
			service,
			owners: owners.map(owner => owner + 1),
			exceptions: exceptions.map(({key, owner}) => ({key, owner})),
		})),
		members: members.map(member => encodeMember(member)),
	};
}

/** Converts a routing table from its wire format. */
export function decodeRoutingTable({version, vmIds, placements, members}: WireRoutingTable): RoutingTable {
	return {
		map: {version: Number(version), vmIds, placements: placements.map(placement => decodePlacement(placement))},
		members: members.map(member => decodeMember(member)),
	};
}

/** Converts a member to its wire format. */
export function encodeMember(member: Member): MessageInitShape<typeof MemberSchema> {
	const {peerOrigin, callerOrigin, failureDomain, phase, backendServer} = member;
	return {
		node: encodeNode(member), peerOrigin, callerOrigin, failureDomain, phase, backendServer,
	};
}

/** Converts a member from its wire format. Throws `ERR_DOCUMENT_VALUE` when the node is absent or the phase is unknown. */
export function decodeMember({node, peerOrigin, callerOrigin, failureDomain, phase, backendServer}: WireMember): Member {
	const member = {
		...decodeNode(node), peerOrigin, callerOrigin, failureDomain, phase: expectLiteral(phase, phases),
	};
	return backendServer === undefined ? member : {...member, backendServer: decodeBackendServer(backendServer)};
}

function decodePlacement({service, owners, exceptions}: WireServicePlacement): ServicePlacement {
	return {
		service,
		owners: owners.map(owner => owner - 1),
		exceptions: exceptions.map(({key, owner}) => ({key, owner})),
	};
}

function decodeBackendServer(server: WireBackendServer): BackendServer {
	const {name, service, origin, slots, checksFence, incarnation, leaving} = server;
	return {
		name, service, origin, slots, checksFence, incarnation, leaving,
	};
}
