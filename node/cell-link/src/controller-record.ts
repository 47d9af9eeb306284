import {toResult} from '@buckthornpoint/documents/either.js';
import {parseJson} from '@buckthornpoint/documents/parse-json.js';
import type {Result} from 'neverthrow';
import {
	Codec, number, optional, string,
} from 'purify-ts';

/** The table of the cell's own rows. */
export const cellTable = 'cell';

/** The row that says who is controller. */
export const controllerKey = 'controller';

const mapPrefix = 'ranges/';

/** Who is controller, and until when others stay back. Times are milliseconds of the store's clock. */
export type ControllerRecord = {
	/** Grows with each takeover. */
	readonly epoch: number;
	readonly vmId: string;
	readonly incarnation: string;
	readonly address: string;
	/** Until then nobody else takes over, unless the controller's process is proved to be over. */
	readonly untilMs: number;
	/** No lease that this controller or an earlier one gave ends later. */
	readonly leasesEndMs: number;
	/** No lease that a controller before this one gave ends later, as far as this one knows. */
	readonly earlierLeasesEndMs: number;
};

const recordCodec = Codec.interface({
	epoch: number, vmId: string, incarnation: string, address: string, untilMs: number, leasesEndMs: number, earlierLeasesEndMs: optional(number),
});

/** Returns the key of the row that holds the owners of a service's keys. */
export function getMapKey(service: string): string {
	return `${mapPrefix}${service}`;
}

/** Tells whether a row holds the owners of a service's keys. */
export function isMapKey(key: string): boolean {
	return key.startsWith(mapPrefix);
}

/** Decodes the controller's row. */
export function decodeControllerRecord(text: string): Result<ControllerRecord, string> {
	// Nodes before this field wrote one bound for all controllers.
	return parseJson(text).andThen(value => toResult(recordCodec.decode(value))).map(record => ({...record, earlierLeasesEndMs: record.earlierLeasesEndMs ?? record.leasesEndMs}));
}
