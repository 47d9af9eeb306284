import {
	array, boolean, Codec, exactly, number, oneOf, optional, string,
} from 'purify-ts';

/** Decodes the announcement of a backend server. */
export const backendServerCodec = Codec.interface({
	name: string, service: string, origin: string, slots: number, checksFence: boolean, incarnation: string, leaving: boolean,
});

/** Decodes a member of a cell. */
export const memberCodec = Codec.interface({
	vmId: string,
	incarnation: string,
	peerOrigin: string,
	callerOrigin: string,
	failureDomain: string,
	phase: oneOf([exactly('joining'), exactly('active'), exactly('leaving')]),
	backendServer: optional(backendServerCodec),
});

/** Decodes the map of a cell. */
export const mapCodec = Codec.interface({
	version: number,
	vmIds: array(string),
	placements: array(Codec.interface({
		service: string,
		owners: array(number),
		exceptions: array(Codec.interface({key: string, owner: string})),
	})),
});
