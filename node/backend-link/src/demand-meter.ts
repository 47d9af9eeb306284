import {keyCount, type KeyRange} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {RangeLoad} from '@buckthornpoint/key-ranges/messages.js';

/** Minimum length of a counting window. Shorter ones contain too few requests. */
const minWindowMs = 500;

/** Weight of the latest window in the moving averages: a change shows within a second. */
const newestWindowWeight = 0.5;

/** Keys with a lower rate are no longer tracked. */
const minKeyRequestsPerSecond = 0.01;

/** Maximum number of reported ranges; the busiest ones are reported. */
const maxReportedRanges = 24;

/** Ranges with a lower rate are not worth moving. */
const minReportedRequestsPerSecond = 1;

/** Busy ranges are reported in parts of at most this share of the server's capacity: another server can take one in addition to its own load, and a span of busy keys needs no more ranges than necessary. */
const maxPartShare = 1 / 6;

/** Maximum number of reported parts of ranges. */
const maxReportedParts = 64;

const msPerSecond = 1000;

/** Measures the rate of requests that are offered to one backend server, in total and by key. */
export class DemandMeter {
	/** Requests of each key in the present window. */
	readonly #countByKey = new Map<number, number>();
	readonly #rateByKey = new Map<number, number>();
	#offeredCount = 0;
	#requestsPerSecond = 0;
	#windowStartMs: number;

	constructor(nowMs: number) {
		this.#windowStartMs = nowMs;
	}

	/** Total rate of the offered requests. */
	get requestsPerSecond(): number {
		return this.#requestsPerSecond;
	}

	/** Counts an offered request. */
	recordOffered(key: number | undefined): void {
		this.#offeredCount++;
		if (key !== undefined && key < keyCount) {
			this.#countByKey.set(key, (this.#countByKey.get(key) ?? 0) + 1);
		}
	}

	/** Advances to the present time and ends the counting window if it is long enough. */
	advance(nowMs: number): void {
		if (nowMs - this.#windowStartMs < minWindowMs) {
			return;
		}

		const seconds = (nowMs - this.#windowStartMs) / msPerSecond;
		this.#windowStartMs = nowMs;
		this.#requestsPerSecond += ((this.#offeredCount / seconds) - this.#requestsPerSecond) * newestWindowWeight;
		this.#offeredCount = 0;
		for (const [key, rate] of this.#rateByKey) {
			this.#setRate(key, rate * (1 - newestWindowWeight));
		}

		for (const [key, count] of this.#countByKey) {
			this.#setRate(key, (this.#rateByKey.get(key) ?? 0) + (count / seconds * newestWindowWeight));
		}

		this.#countByKey.clear();
	}

	/** Lists the busiest of the given ranges, which must be ordered by key. */
	listRangeLoads(ranges: readonly KeyRange[]): readonly RangeLoad[] {
		const busyKeys = [...this.#rateByKey.keys()].toSorted((left, right) => left - right);
		let next = 0;
		return ranges
			.map(({from, to}) => {
				while (next < busyKeys.length && busyKeys[next]! < from) {
					next++;
				}

				const first = next;
				while (next < busyKeys.length && busyKeys[next]! <= to) {
					next++;
				}

				return this.#measureRange({from, to}, busyKeys.slice(first, next));
			})
			.filter(({perS}) => perS >= minReportedRequestsPerSecond)
			.toSorted((left, right) => right.perS - left.perS)
			.slice(0, maxReportedRanges);
	}

	/** Lists the busiest of the given ranges; those with a larger share of `capacityPerS`, which the server can serve, in parts down to a single busy key. */
	listPartLoads(ranges: readonly KeyRange[], capacityPerS: number): readonly RangeLoad[] {
		const maxPartPerS = capacityPerS * maxPartShare;
		return this.listRangeLoads(ranges)
			.flatMap(load => load.perS <= maxPartPerS ? [load] : this.#splitRange(load, maxPartPerS))
			.filter(({perS}) => perS >= minReportedRequestsPerSecond)
			.toSorted((left, right) => right.perS - left.perS)
			.slice(0, maxReportedParts);
	}

	#splitRange({from, to}: KeyRange, maxPartPerS: number): readonly RangeLoad[] {
		const parts: KeyRange[] = [];
		let partPerS = 0;
		let partFrom = from;
		for (let key = from; key <= to; key++) {
			const rate = this.#rateByKey.get(key) ?? 0;
			if (rate > 0 && partPerS > 0 && partPerS + rate > maxPartPerS) {
				parts.push({from: partFrom, to: key - 1});
				partFrom = key;
				partPerS = 0;
			}

			partPerS += rate;
		}

		const busyKeys = [...this.#rateByKey.keys()].filter(key => from <= key && key <= to).toSorted((left, right) => left - right);
		return [...parts, {from: partFrom, to}].map(part => this.#measureRange(part, busyKeys.filter(key => part.from <= key && key <= part.to)));
	}

	#setRate(key: number, rate: number): void {
		if (rate < minKeyRequestsPerSecond) {
			this.#rateByKey.delete(key);
		} else {
			this.#rateByKey.set(key, rate);
		}
	}

	/** Measures the rate of a range, and finds the key at which half of that rate is reached. */
	#measureRange({from, to}: KeyRange, busyKeys: readonly number[]): RangeLoad {
		const rates = busyKeys.map(key => this.#rateByKey.get(key) ?? 0);
		const requestsPerSecond = rates.reduce((sum, rate) => sum + rate, 0);
		let half = 0;
		let index = 0;
		while (index < rates.length - 1 && half + rates[index]! <= requestsPerSecond / 2) {
			half += rates[index]!;
			index++;
		}

		return {
			from, to, perS: Math.round(requestsPerSecond * 10) / 10, middleKey: busyKeys[index] ?? from,
		};
	}
}
