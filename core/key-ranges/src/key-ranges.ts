/** The number of keys of a service partitioned by key: keys are the integers from 0 to `keyCount - 1`. */
export const keyCount = 65_536;

/** Consecutive keys; both bounds are inclusive. */
export type KeyRange = {
	readonly from: number;
	readonly to: number;
};

/** A range granted to a backend server. */
export type GrantedRange = KeyRange & {
	/** Fencing token: increases each time a key is granted to another holder. */
	readonly fence: number;
	/** Handover data of the last holder; undefined if there is none. */
	readonly handover?: string;
};

/** A range that a backend server holds, with the fencing token of its grant. */
export type HeldRange = KeyRange & {readonly fence: number};

/** A range that a backend server has released, with its handover data for the next holder. */
export type ReleasedRange = KeyRange & {readonly handover: string};

/** Identifies one instance of a backend server by the server id and the start time, so that instances under the same id differ. */
export type BackendInstanceKey = string;

/** Formats the key of a backend server instance. `bornMs` is its start time in Unix milliseconds; 0 if the server doesn't report it. */
export function formatBackendInstanceKey(id: string, bornMs: number): BackendInstanceKey {
	return `${id}/${bornMs}`;
}

/** Returns whether an instance on a VM started after another. An unknown start time counts as the earliest. */
export function isLaterInstance(key: BackendInstanceKey, earlier: BackendInstanceKey): boolean {
	return parseStartMs(key) > parseStartMs(earlier);
}

function parseStartMs(key: BackendInstanceKey): number {
	return Number(key.slice(key.lastIndexOf('/') + 1));
}

/** Returns whether two ranges share a key. */
export function hasOverlap(left: KeyRange, right: KeyRange): boolean {
	return left.from <= right.to && right.from <= left.to;
}

/** Returns the entry that contains the key. The entries must be ordered and must not overlap. */
export function findByKey<Entry extends KeyRange>(entries: readonly Entry[], key: number): Entry | undefined {
	let low = 0;
	let high = entries.length - 1;
	while (low <= high) {
		const middle = (low + high) >> 1; // eslint-disable-line no-bitwise
		const entry = entries[middle]!;
		if (key < entry.from) {
			high = middle - 1;
		} else if (key > entry.to) {
			low = middle + 1;
		} else {
			return entry;
		}
	}

	return undefined;
}

/** Merges adjacent ranges with the same fence and handover data, to keep a list of grants short. */
export function mergeGrants(ranges: readonly GrantedRange[]): readonly GrantedRange[] {
	const merged: GrantedRange[] = [];
	for (const range of ranges.toSorted((left, right) => left.from - right.from)) {
		const last = merged.at(-1);
		if (last !== undefined && last.to + 1 === range.from && last.fence === range.fence && last.handover === range.handover) {
			merged[merged.length - 1] = {...last, to: range.to};
		} else {
			merged.push(range);
		}
	}

	return merged;
}

/** Merges overlapping and adjacent ranges. */
export function mergeRanges(ranges: readonly KeyRange[]): readonly KeyRange[] {
	const merged: KeyRange[] = [];
	for (const {from, to} of ranges.toSorted((left, right) => left.from - right.from)) {
		const last = merged.at(-1);
		if (last !== undefined && from <= last.to + 1) {
			merged[merged.length - 1] = {from: last.from, to: Math.max(last.to, to)};
		} else {
			merged.push({from, to});
		}
	}

	return merged;
}

/** Subtracts `others` from `ranges` in one pass. Neither list may contain overlapping ranges. */
export function removeOverlaps(ranges: readonly KeyRange[], others: readonly KeyRange[]): readonly KeyRange[] {
	const sortedOthers = others.toSorted(compareRanges);
	const rest: KeyRange[] = [];
	let first = 0;
	for (const range of ranges.toSorted(compareRanges)) {
		while (first < sortedOthers.length && sortedOthers[first]!.to < range.from) {
			first++;
		}

		let {from} = range;
		for (let index = first; index < sortedOthers.length && sortedOthers[index]!.from <= range.to; index++) {
			const other = sortedOthers[index]!;
			if (other.from > from) {
				rest.push({from, to: other.from - 1});
			}

			from = Math.max(from, other.to + 1);
		}

		if (from <= range.to) {
			rest.push({from, to: range.to});
		}
	}

	return rest;
}

function compareRanges(left: KeyRange, right: KeyRange): number {
	return left.from - right.from;
}
