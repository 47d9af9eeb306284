import {toResult} from '@buckthornpoint/documents/either.js';
import {decodePacked, encodePacked} from '@buckthornpoint/documents/packed-text.js';
import {parseJson} from '@buckthornpoint/documents/parse-json.js';
import {err, ok, type Result} from 'neverthrow';
import {
	array, Codec, number, optional, string,
} from 'purify-ts';
import {keyCount} from './key-ranges.js';
import type {RangeMap, Segment} from './range-map.js';

type OwnerPair = readonly [key: string, vmId: string];

/** A full range map as written to the store and sent to nodes that can't apply changes. */
export type RangeMapRecord = {
	readonly service: string;
	readonly version: number;
	/** Era of the store in which the version was given. Earlier releases don't write it. */
	readonly era?: number | undefined;
	readonly owners: readonly OwnerPair[];
	/** The lengths, owner indexes and fences of the segments: three JSON arrays of numbers, deflated and base64-encoded. */
	readonly packed: string;
};

/** The changes of a range map since an earlier version. Fences are left out, since only the controller needs them. */
export type RangeMapChanges = {
	readonly service: string;
	readonly version: number;
	readonly since: number;
	readonly era?: number | undefined;
	readonly owners: readonly OwnerPair[];
	readonly segments: ReadonlyArray<readonly [from: number, to: number, owner: number]>;
};

/** A map update for a node that may have an earlier version. */
export type RangeMapUpdate = RangeMapRecord | RangeMapChanges;

const recordCodec = Codec.interface({
	service: string,
	version: number,
	era: optional(number),
	owners: array(array(string)),
	packed: optional(string),
	// Format written by earlier releases: first key, owner index and fence of each segment.
	segments: optional(array(array(number))),
});
const columnsCodec = array(array(number));

const noOwnerIndex = -1;

/** Limit of the inflated JSON; a map of about 8,000 segments takes less. */
const maxColumnsBytes = 1024 * 1024;

/** If more than this share of the segments changed, the full map is sent. */
const maxChangedShare = 0.3;

/** Encodes a map for the store or for another node. */
export function encodeRangeMap(map: RangeMap): RangeMapRecord {
	const owners = [...map.vmIdByOwner];
	const indexes = new Map(owners.map(([key], index) => [key, index]));
	const columns = [
		map.segments.map(({from, to}) => to - from + 1),
		map.segments.map(({owner}) => owner === undefined ? noOwnerIndex : indexes.get(owner) ?? noOwnerIndex),
		map.segments.map(({fence}) => fence),
	];
	return {
		service: map.service, version: map.version, era: map.era, owners, packed: encodePacked(JSON.stringify(columns)),
	};
}

/** Encodes the changes since a version. Returns undefined if the full map should be sent instead. */
export function encodeRangeMapChanges(map: RangeMap, since: number): RangeMapChanges | undefined {
	const changed = map.segments.filter(({fence}) => fence > since);
	if (since <= 0 || since >= map.version || changed.length > map.segments.length * maxChangedShare) {
		return undefined;
	}

	const keys = [...new Set(changed.flatMap(({owner}) => owner ?? []))];
	const indexes = new Map(keys.map((key, index) => [key, index]));
	return {
		service: map.service,
		version: map.version,
		era: map.era,
		since,
		owners: keys.map(key => [key, map.vmIdByOwner.get(key) ?? '']),
		segments: changed.map(({from, to, owner}) => [from, to, indexes.get(owner ?? '') ?? noOwnerIndex]),
	};
}

/** Decodes a map from a stored document; the error describes what is invalid. */
export function decodeRangeMap(text: string): Result<RangeMap, string> {
	return parseJson(text).andThen(record => decodeRangeMapRecord(record));
}

/** Decodes a map from a record; the error describes what is invalid. */
export function decodeRangeMapRecord(record: unknown): Result<RangeMap, string> {
	return toResult(recordCodec.decode(record)).andThen(({service, version, era, owners, packed, segments}) => {
		const rows = packed === undefined ? ok(segments ?? []) : decodeRows(packed);
		return rows.map(list => ({
			service,
			version,
			era: era ?? 0,
			vmIdByOwner: new Map(owners.map(([key, vmId]) => [key ?? '', vmId ?? ''])),
			segments: list.map(([from, owner, fence], index): Segment => ({
				from: from ?? 0,
				to: (list[index + 1]?.[0] ?? keyCount) - 1,
				owner: owners[owner ?? noOwnerIndex]?.[0],
				fence: fence ?? 0,
			})),
		}));
	});
}

/** Returns the first key, owner index and fence of each segment. */
function decodeRows(packed: string): Result<ReadonlyArray<readonly number[]>, string> {
	return decodePacked(packed, maxColumnsBytes).andThen(text => parseJson(text)).andThen(value => toResult(columnsCodec.decode(value))).andThen(([lengths, owners, fences]) => {
		if (lengths === undefined || owners?.length !== lengths.length || fences?.length !== lengths.length) {
			return err('the columns of its segments differ in length');
		}

		let from = 0;
		return ok(lengths.map((length, index) => {
			const row = [from, owners[index]!, fences[index]!];
			from += length;
			return row;
		}));
	});
}
