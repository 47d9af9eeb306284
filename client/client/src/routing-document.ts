import {serviceCodec} from '@buckthornpoint/codecs/configuration-codecs.js';
import {mapCodec} from '@buckthornpoint/codecs/membership-codecs.js';
import type {RoutingDocument} from '@buckthornpoint/types/routing-document.js';
import {
	array, Codec, number, string, type Either,
} from 'purify-ts';

const documentCodec = Codec.interface({
	configurationVersion: number,
	services: array(serviceCodec),
	map: mapCodec,
	members: array(Codec.interface({vmId: string, incarnation: string, callerOrigin: string})),
});

/** Decodes the routing document that a node returned, or returns an error message. */
export function decodeRoutingDocument(document: unknown): Either<string, RoutingDocument> {
	return documentCodec.decode(document);
}

/** Returns whether a document may replace the known one: neither the map version nor the configuration version may decrease. */
export function isAtLeastAsNew(document: RoutingDocument, known: RoutingDocument | undefined): boolean {
	if (known === undefined) {
		return true;
	}

	return document.map.version >= known.map.version && document.configurationVersion >= known.configurationVersion;
}
