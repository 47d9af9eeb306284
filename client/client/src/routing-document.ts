import type {RoutingDocument} from '@buckthornpoint/types/routing-document.js';
import {
	array, boolean, Codec, exactly, number, oneOf, string, type Either,
} from 'purify-ts';

const ruleCodec = Codec.interface({
	method: string,
	pathPrefix: string,
	idempotent: boolean,
	requestClass: oneOf([exactly('interactive'), exactly('transactional'), exactly('service-to-service')]),
	defaultDeadlineMs: number,
});
const serviceCodec = Codec.interface({
	name: string,
	tenant: string,
	divided: boolean,
	partitionCount: number,
	maxConnections: number,
	coldConcurrency: number,
	rules: array(ruleCodec),
});
const placementCodec = Codec.interface({
	service: string,
	owners: array(number),
	exceptions: array(Codec.interface({key: string, owner: string})),
});
const documentCodec = Codec.interface({
	configurationVersion: number,
	services: array(serviceCodec),
	map: Codec.interface({version: number, vmIds: array(string), placements: array(placementCodec)}),
	members: array(Codec.interface({vmId: string, incarnation: string, callerOrigin: string})),
});

/** Decodes the answer of a node, or says what is wrong with it. */
export function decodeRoutingDocument(document: unknown): Either<string, RoutingDocument> {
	return documentCodec.decode(document);
}

/** Tells whether a document is newer than another one. Neither of its versions ever goes back. */
export function isNewer(document: RoutingDocument, known: RoutingDocument | undefined): boolean {
	if (known === undefined) {
		return true;
	}

	return document.map.version >= known.map.version && document.configurationVersion >= known.configurationVersion;
}
