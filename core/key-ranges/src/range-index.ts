import {hasOverlap, mergeRanges, type KeyRange} from './key-ranges.js';

/** Index of ranges for overlap queries in logarithmic time. */
export class RangeIndex {
	readonly #ranges: readonly KeyRange[];

	constructor(ranges: readonly KeyRange[]) {
		this.#ranges = mergeRanges(ranges);
	}

	/** Returns whether `range` shares a key with any indexed range. */
	hasOverlap(range: KeyRange): boolean {
		let low = 0;
		let high = this.#ranges.length;
		while (low < high) {
			const middle = (low + high) >> 1; // eslint-disable-line no-bitwise
			if (this.#ranges[middle]!.to < range.from) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		const first = this.#ranges[low];
		return first !== undefined && hasOverlap(first, range);
	}
}
