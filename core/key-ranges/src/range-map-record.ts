import {toResult} from '@buckthornpoint/documents/either.js';
import {parseJson} from '@buckthornpoint/documents/parse-json.js';
import type {Result} from 'neverthrow';
import {
	array, Codec, number, string,
} from 'purify-ts';
import {keyCount} from './key-ranges.js';
import type {RangeMap, Segment} from './range-map.js';

/** A range map as it is written to the store: owners once, then begin, owner index and fence of each segment. */
export type RangeMapRecord = {
	readonly service: string;
	readonly version: number;
	readonly owners: ReadonlyArray<readonly [key: string, vmId: string]>;
	readonly segments: ReadonlyArray<readonly [from: number, owner: number, fence: number]>;
};

const recordCodec = Codec.interface({
	service: string,
	version: number,
	owners: array(array(string)),
	segments: array(array(number)),
});

const noOwner = -1;

/** Encodes a map for the store or for another node. */
export function encodeRangeMap(map: RangeMap): RangeMapRecord {
	const owners = [...map.vmOfOwner];
	const indexes = new Map(owners.map(([key], index) => [key, index]));
	return {
		service: map.service,
		version: map.version,
		owners,
		segments: map.segments.map(({from, owner, fence}) => [from, owner === undefined ? noOwner : indexes.get(owner) ?? noOwner, fence]),
	};
}

/** Decodes a map from a document of the store; the error says what is wrong with it. */
export function decodeRangeMap(text: string): Result<RangeMap, string> {
	return parseJson(text).andThen(record => decodeRangeMapRecord(record));
}

/** Decodes a map from a record; the error says what is wrong with it. */
export function decodeRangeMapRecord(record: unknown): Result<RangeMap, string> {
	return toResult(recordCodec.decode(record)).map(({service, version, owners, segments}) => ({
		service,
		version,
		vmOfOwner: new Map(owners.map(([key, vmId]) => [key ?? '', vmId ?? ''])),
		segments: segments.map(([from, owner, fence], index): Segment => ({
			from: from ?? 0,
			to: (segments[index + 1]?.[0] ?? keyCount) - 1,
			owner: owners[owner ?? noOwner]?.[0],
			fence: fence ?? 0,
		})),
	}));
}
