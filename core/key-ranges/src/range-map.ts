import {deriveNumberInEra} from './era-versions.js';
import {
	isLaterInstance, keyCount, type BackendInstanceKey, type KeyRange,
} from './key-ranges.js';
import {RangeIndex} from './range-index.js';

/** A range with the backend server instance that owns it. */
export type Segment = KeyRange & {
	/** Undefined while the range has no owner. */
	readonly owner: BackendInstanceKey | undefined;
	readonly fence: number;
};

/** The owner of each key of one service, as persisted in the store. */
export type RangeMap = {
	readonly service: string;
	/** Increases with each change; changed segments get it as their fence. */
	readonly version: number;
	/** Era of the store in which the version was given. */
	readonly era: number;
	/** Ordered by key, without gaps. */
	readonly segments: readonly Segment[];
	/** The VM of each owner: a later instance on the same VM proves that the earlier one has ended. */
	readonly vmIdByOwner: ReadonlyMap<BackendInstanceKey, string>;
};

/** A range that changes to a new owner. */
export type OwnerChange = KeyRange & {
	readonly owner: BackendInstanceKey;
	readonly vmId: string;
};

/**
 * Initial number of stripes per backend server. Busy keys lie close together, so adjacent stripes go to different owners. A
 * heartbeat reply has space for about 190 ranges; after the loss of half of the servers each owns twice as many stripes.
 */
export const stripesPerBackend = 80;

/** Smallest stripe, in keys. It limits a map to about 8,000 segments, which fit into a row of the store. */
const minStripeKeys = 8;

/** Splits the key space into equal stripes and assigns them to the owners in turn. */
export function createRangeMap(service: string, owners: ReadonlyArray<{readonly key: BackendInstanceKey; readonly vmId: string}>, era = 0): RangeMap {
	const version = deriveNumberInEra(1, 0, era);
	const size = deriveStripeSize(owners.length);
	const segments = Array.from({length: Math.ceil(keyCount / size)}, (_, index): Segment => ({
		from: index * size,
		to: Math.min(keyCount, (index + 1) * size) - 1,
		owner: owners.length === 0 ? undefined : owners[index % owners.length]!.key,
		fence: version,
	}));
	return {
		service, version, era, segments, vmIdByOwner: new Map(owners.map(({key, vmId}) => [key, vmId])),
	};
}

/** Derives the number of keys of a stripe. Smaller adjacent segments of the same owner and fence are merged up to this size. */
export function deriveStripeSize(owners: number): number {
	return Math.max(minStripeKeys, Math.floor(keyCount / (stripesPerBackend * Math.max(1, owners))));
}

/** Gives a map a version of a later era of the store. Its segments keep their fences. */
export function updateEra(map: RangeMap, era: number): RangeMap {
	return {...map, version: deriveNumberInEra(map.version, map.era, era), era};
}

/** Lists the owners on a VM that ended before the instance `key` started there. */
export function listEarlierOwners(maps: readonly RangeMap[], vmId: string, key: BackendInstanceKey): readonly BackendInstanceKey[] {
	return maps.flatMap(({vmIdByOwner}) => [...vmIdByOwner].filter(([owner, ownerVm]) => ownerVm === vmId && isLaterInstance(key, owner)).map(([owner]) => owner));
}

/** Assigns ranges to new owners in a map of the next version. If changes overlap, the last one applies. A segment is split where a change begins or ends inside it. */
export function applyOwnerChanges(map: RangeMap, changes: readonly OwnerChange[]): RangeMap {
	return applyMapChanges(map, map.version + 1, changes);
}

/** Applies changes of one or several versions; `version` is the latest of them. */
export function applyMapChanges(map: RangeMap, version: number, changes: readonly OwnerChange[]): RangeMap {
	const segments = mergeSmallSegments(applyToSegments(map.segments, changes, version), deriveStripeSize(map.vmIdByOwner.size));
	const owners = new Set<BackendInstanceKey | undefined>();
	for (const {owner} of segments) {
		owners.add(owner);
	}

	const vmIds = [...map.vmIdByOwner, ...changes.map(({owner, vmId}) => [owner, vmId] as const)];
	return {
		...map, version, segments, vmIdByOwner: new Map(vmIds.filter(([owner]) => owners.has(owner))),
	};
}

/** Applies changes to segments. Visits each key of the changed segments once, whatever the number of changes. */
function applyToSegments(segments: readonly Segment[], changes: readonly OwnerChange[], fence: number): readonly Segment[] {
	const changed = new RangeIndex(changes);
	const changeOfKey = new Int32Array(keyCount).fill(noChangeIndex);
	for (const [index, {from, to}] of changes.entries()) {
		changeOfKey.fill(index, from, to + 1);
	}

	const parts: Segment[] = [];
	for (const segment of segments) {
		if (!changed.hasOverlap(segment)) {
			parts.push(segment);
			continue;
		}

		for (let {from} = segment; from <= segment.to;) {
			const index = changeOfKey[from]!;
			let to = from;
			while (to < segment.to && changeOfKey[to + 1] === index) {
				to++;
			}

			parts.push(index === noChangeIndex
				? {...segment, from, to}
				: {
					from, to, owner: changes[index]!.owner, fence,
				});
			from = to + 1;
		}
	}

	return parts;
}

/** Merges small segments left by earlier splits, but keeps whole stripes separate, since they spread busy keys. */
function mergeSmallSegments(segments: readonly Segment[], stripeSize: number): readonly Segment[] {
	const merged: Segment[] = [];
	let last: Segment | undefined;
	for (const segment of segments) {
		if (last !== undefined && last.owner === segment.owner && last.fence === segment.fence && segment.to - last.from < stripeSize) {
			last = {...last, to: segment.to};
			merged[merged.length - 1] = last;
		} else {
			last = segment;
			merged.push(segment);
		}
	}

	return merged;
}

/** Marks a key that no change contains. */
const noChangeIndex = -1;
