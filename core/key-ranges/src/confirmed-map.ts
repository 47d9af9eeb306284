import {
	keyCount, mergeRanges, type BackendInstanceKey, type HeldRange, type KeyRange,
} from './key-ranges.js';
import type {RangeMap, Segment} from './range-map.js';

/** The ranges that a backend server holds, as reported by its node. */
export type HeldReport = {
	readonly owner: BackendInstanceKey;
	readonly vmId: string;
	readonly held: readonly HeldRange[];
};

/** A map that agrees with the reported holders, and the ranges that no report contains. */
export type ConfirmedMap = {
	readonly map: RangeMap;
	readonly unconfirmed: readonly KeyRange[];
	/** Whether a range is held by another server than the owner in the map that the new one is based on. */
	readonly hasNewOwners: boolean;
};

const noHolder = -1;

/**
 * Builds a map from the servers that hold its ranges: a holder becomes the owner, with the fence that it has. Ranges that nobody
 * reported keep the owner of `base`, with `version` as their fence. Of several holders of a key the one with the highest fence is right.
 */
export function buildConfirmedMap(base: RangeMap, reports: readonly HeldReport[], {version, era}: Pick<RangeMap, 'version' | 'era'>): ConfirmedMap {
	const holders = new Int32Array(keyCount).fill(noHolder);
	const fences = new Float64Array(keyCount);
	for (const [index, {held}] of reports.entries()) {
		for (const {from, to, fence} of held) {
			for (let key = Math.max(0, from); key <= Math.min(keyCount - 1, to); key++) {
				if (holders[key] === noHolder || fence > fences[key]!) {
					holders[key] = index;
					fences[key] = fence;
				}
			}
		}
	}

	const segments: Segment[] = [];
	const unconfirmed: KeyRange[] = [];
	let hasNewOwners = false;
	for (const segment of base.segments) {
		for (let {from} = segment; from <= segment.to;) {
			const holder = reports[holders[from]!];
			let to = from;
			while (to < segment.to && holders[to + 1] === holders[from] && fences[to + 1] === fences[from]) {
				to++;
			}

			hasNewOwners ||= holder !== undefined && holder.owner !== segment.owner;
			segments.push({
				from, to, owner: holder?.owner ?? segment.owner, fence: holder === undefined ? version : fences[from]!,
			});
			if (holder === undefined) {
				unconfirmed.push({from, to});
			}

			from = to + 1;
		}
	}

	const vmIds = new Map([...base.vmIdByOwner, ...reports.map(({owner, vmId}) => [owner, vmId] as const)]);
	const owners = new Set(segments.map(({owner}) => owner));
	return {
		map: {
			service: base.service, version, era, segments, vmIdByOwner: new Map([...vmIds].filter(([owner]) => owners.has(owner))),
		},
		unconfirmed: mergeRanges(unconfirmed),
		hasNewOwners,
	};
}
