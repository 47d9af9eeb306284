/** The number of keys of a divided service: keys are whole numbers from 0 to one below it. */
export const keyCount = 65_536;

/** Consecutive keys, both ends included. */
export type KeyRange = {
	readonly from: number;
	readonly to: number;
};

/** A range as a backend server is told to hold it. */
export type GrantedRange = KeyRange & {
	/** Larger for each later grant of a key to another holder. */
	readonly fence: number;
	/** What the last holder handed over with the keys; undefined where nothing is known. */
	readonly handover?: string;
};

/** A range that a backend server has given up, with what it hands over to the next holder. */
export type ReleasedRange = KeyRange & {readonly handover: string};

/** One run of a backend server: its id and the moment of its start. Two runs under one id differ. */
export type BackendKey = string;

/** Names a run of a backend server. `bornMs` is Unix milliseconds; 0 where the server doesn't say. */
export function formatBackendKey(id: string, bornMs: number): BackendKey {
	return `${id}/${bornMs}`;
}

/** Tells whether one run on a VM began after another. Where that is not known, it did not. */
export function isLaterRun(key: BackendKey, earlier: BackendKey): boolean {
	return readBornMs(key) > readBornMs(earlier);
}

function readBornMs(key: BackendKey): number {
	return Number(key.slice(key.lastIndexOf('/') + 1));
}

/** Tells whether two ranges share a key. */
export function hasOverlap(left: KeyRange, right: KeyRange): boolean {
	return left.from <= right.to && right.from <= left.to;
}

/** Returns the entry that holds the key. The entries are ordered and do not overlap. */
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

/** Joins neighbours with the same fence and handover, so that a list of grants stays short. */
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

/** Joins overlapping and neighbouring ranges. */
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

/** Returns the parts of ranges that lie in none of the others, in one pass. Neither list overlaps in itself. */
export function removeCovered(ranges: readonly KeyRange[], others: readonly KeyRange[]): readonly KeyRange[] {
	const covers = others.toSorted(compareRanges);
	const rest: KeyRange[] = [];
	let first = 0;
	for (const range of ranges.toSorted(compareRanges)) {
		while (first < covers.length && covers[first]!.to < range.from) {
			first++;
		}

		let {from} = range;
		for (let index = first; index < covers.length && covers[index]!.from <= range.to; index++) {
			const cover = covers[index]!;
			if (cover.from > from) {
				rest.push({from, to: cover.from - 1});
			}

			from = Math.max(from, cover.to + 1);
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
