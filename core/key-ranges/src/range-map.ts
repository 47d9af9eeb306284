import {keyCount, type BackendKey, type KeyRange} from './key-ranges.js';

/** A range with the run of a backend server that owns it. */
export type Segment = KeyRange & {
	/** Undefined while nobody may hold the range. */
	readonly owner: BackendKey | undefined;
	readonly fence: number;
};

/** Who owns which keys of one service, as it is kept in the store. */
export type RangeMap = {
	readonly service: string;
	/** Grows with each change; the fences of a change are the version that made it. */
	readonly version: number;
	/** Ordered by key, without gaps. */
	readonly segments: readonly Segment[];
	/** The VM of each owner: a later run on the same VM proves that the earlier one is gone. */
	readonly vmOfOwner: ReadonlyMap<BackendKey, string>;
};

/** A range that is given to a new owner. */
export type OwnerChange = KeyRange & {
	readonly owner: BackendKey;
	readonly vmId: string;
};

/**
 * Stripes for each backend server at the start: busy keys lie close together, so neighbours go to different owners. An
 * answer to a heartbeat has room for some 190 ranges; after the loss of half of the servers each holds twice its stripes.
 */
export const stripesPerBackend = 80;

const maxStripes = 1024;

/** Cuts the keys into equal stripes, dealt to the owners in turn. */
export function createRangeMap(service: string, owners: ReadonlyArray<{readonly key: BackendKey; readonly vmId: string}>): RangeMap {
	const stripes = Math.min(maxStripes, stripesPerBackend * Math.max(1, owners.length));
	const segments = Array.from({length: stripes}, (_, index): Segment => ({
		from: Math.floor(index * keyCount / stripes),
		to: Math.floor((index + 1) * keyCount / stripes) - 1,
		owner: owners.length === 0 ? undefined : owners[index % owners.length]!.key,
		fence: 1,
	}));
	return {
		service, version: 1, segments, vmOfOwner: new Map(owners.map(({key, vmId}) => [key, vmId])),
	};
}

/** Gives ranges to new owners under the next version. Segments are cut where a change begins or ends inside one. */
export function applyOwnerChanges(map: RangeMap, changes: readonly OwnerChange[]): RangeMap {
	const version = map.version + 1;
	const vmOfOwner = new Map(map.vmOfOwner);
	let {segments} = map;
	for (const change of changes) {
		segments = segments.flatMap(segment => splitSegment(segment, change, version));
		vmOfOwner.set(change.owner, change.vmId);
	}

	const owners = new Set(segments.map(({owner}) => owner));
	for (const owner of vmOfOwner.keys()) {
		if (!owners.has(owner)) {
			vmOfOwner.delete(owner);
		}
	}

	return {
		...map, version, segments: mergeSegments(segments), vmOfOwner,
	};
}

function splitSegment(segment: Segment, change: OwnerChange, fence: number): readonly Segment[] {
	const from = Math.max(segment.from, change.from);
	const to = Math.min(segment.to, change.to);
	if (from > to) {
		return [segment];
	}

	const before = {...segment, to: from - 1};
	const after = {...segment, from: to + 1};
	const changed: Segment = {
		from, to, owner: change.owner, fence,
	};
	return [before, changed, after].filter(part => part.from <= part.to);
}

/** Joins the small pieces that earlier cuts left, but keeps the stripes apart that spread busy keys. */
function mergeSegments(segments: readonly Segment[]): readonly Segment[] {
	const joined: Segment[] = [];
	const stripe = keyCount / maxStripes;
	for (const segment of segments) {
		const last = joined.at(-1);
		const isSame = last?.owner === segment.owner && last?.fence === segment.fence;
		if (last !== undefined && isSame && segment.to - last.from < stripe) {
			joined[joined.length - 1] = {...last, to: segment.to};
		} else {
			joined.push(segment);
		}
	}

	return joined;
}
