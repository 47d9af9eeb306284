import {toResult} from '@buckthornpoint/documents/either.js';
import {parseJson} from '@buckthornpoint/documents/parse-json.js';
import type {StoreEra} from '@buckthornpoint/fleet/fleet-store.js';
import type {ControllerQuorum} from '@buckthornpoint/key-ranges/controller-quorum.js';
import type {Result} from 'neverthrow';
import {
	array, Codec, number, optional, string,
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
	/** Era of the store in which the row was written; 0 if the platform doesn't report eras. */
	readonly era: StoreEra;
	/** The latest era in which the range maps were known to agree with what their owners hold. If it is older than the store's, the store returned from a copy since. */
	readonly mapsEra: StoreEra;
	/** Controllers of which the row does not know, since the store lost their rows, had epochs up to this one. */
	readonly lostEpoch: number;
	/** The members that bind the leases of this controller. Without them they may run until `leasesEndMs`, as in rows of earlier versions. */
	readonly quorum?: ControllerQuorum | undefined;
	/** The VMs whose nodes may hold shares of rate limits. The controller grants shares to no others. Without a list nobody holds any. */
	readonly shareHolders?: readonly string[] | undefined;
};

const recordCodec = Codec.interface({
	epoch: number, vmId: string, incarnation: string, address: string, untilMs: number, leasesEndMs: number, earlierLeasesEndMs: optional(number),
	era: optional(number), mapsEra: optional(number), lostEpoch: optional(number),
	quorum: optional(Codec.interface({members: array(string), leaseMs: number})),
	shareHolders: optional(array(string)),
});

const eraPrefix = 'era/';

/**
 * Returns the key of the row that exists in one era only. Each write has it as a condition, so that a write of an earlier era that
 * takes effect late fails, although the versions in its other conditions may have been given out again.
 */
export function getEraKey(era: StoreEra): string {
	return `${eraPrefix}${era}`;
}

/** Returns whether a row marks an era. */
export function isEraKey(key: string): boolean {
	return key.startsWith(eraPrefix);
}

/** Returns the key of the row that stores a service's range map, which assigns its keys to owners. */
export function getMapKey(service: string): string {
	return `${mapPrefix}${service}`;
}

/** Returns the service whose range map a row stores. */
export function parseMapKey(key: string): string {
	return key.slice(mapPrefix.length);
}

/** Returns whether a row stores the range map of a service. */
export function isMapKey(key: string): boolean {
	return key.startsWith(mapPrefix);
}

/** Decodes the controller row. */
export function decodeControllerRecord(text: string): Result<ControllerRecord, string> {
	// Rows of older versions lack `earlierLeasesEndMs`: `leasesEndMs` bounds the leases of all controllers. They lack the eras, too.
	return parseJson(text).andThen(value => toResult(recordCodec.decode(value))).map(record => ({
		...record,
		earlierLeasesEndMs: record.earlierLeasesEndMs ?? record.leasesEndMs,
		era: record.era ?? 0,
		mapsEra: record.mapsEra ?? 0,
		lostEpoch: record.lostEpoch ?? 0,
	}));
}

/** Returns whether two rows are of the same controller. */
export function isSameController(record: ControllerRecord, other: ControllerRecord): boolean {
	return record.epoch === other.epoch && record.incarnation === other.incarnation;
}
