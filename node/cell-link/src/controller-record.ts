import {toResult} from '@buckthornpoint/documents/either.js';
import {parseJson} from '@buckthornpoint/documents/parse-json.js';
import type {Result} from 'neverthrow';
import {
	Codec, number, optional, string,
} from 'purify-ts';

/** Table of the rows that the nodes of a cell maintain. */
export const cellTable = 'cell';

/** Key of the row that names the controller. */
export const controllerKey = 'controller';

const mapPrefix = 'ranges/';

/** The controller and the term of its lease, as stored. Times are those of the store's clock. */
export type ControllerRecord = {
	/** Increases with each takeover. */
	readonly epoch: number;
	readonly vmId: string;
	readonly incarnation: string;
	readonly address: string;
	/** No other node takes over before this time, unless the controller's process is proved to have ended. */
	readonly untilMs: number;
	/** Latest possible end of leases granted by this controller or an earlier one. */
	readonly leasesEndMs: number;
	/** Latest possible end of leases granted by earlier controllers, as far as this one knows. */
	readonly earlierLeasesEndMs: number;
};

const recordCodec = Codec.interface({
	epoch: number, vmId: string, incarnation: string, address: string, untilMs: number, leasesEndMs: number, earlierLeasesEndMs: optional(number),
});

/** Returns the key of the row that stores a service's range map, which assigns its keys to owners. */
export function getMapKey(service: string): string {
	return `${mapPrefix}${service}`;
}

/** Returns whether a row stores the range map of a service. */
export function isMapKey(key: string): boolean {
	return key.startsWith(mapPrefix);
}

/** Decodes the controller row. */
export function decodeControllerRecord(text: string): Result<ControllerRecord, string> {
	// Rows of older versions lack `earlierLeasesEndMs`: `leasesEndMs` bounds the leases of all controllers.
	return parseJson(text).andThen(value => toResult(recordCodec.decode(value))).map(record => ({...record, earlierLeasesEndMs: record.earlierLeasesEndMs ?? record.leasesEndMs}));
}
