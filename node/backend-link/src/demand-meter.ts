import {keyCount, type KeyRange} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {RangeLoad} from '@buckthornpoint/key-ranges/messages.js';

/** Weight of the latest span in the moving figures. With two spans a second, a change is seen within a second. */
const spanWeight = 0.5;

/** Ranges that are reported; the busiest come first. */
const maxReported = 24;

/** Ranges with fewer requests a second than this are not worth a move. */
const minReportedPerS = 1;

const milliseconds = 1000;

/** Counts the requests that are offered to one backend server, in all and by key. */
export class DemandMeter {
	readonly #counts = new Float32Array(keyCount);
	readonly #rates = new Float32Array(keyCount);
	#offered = 0;
	#perS = 0;
	#spanStartMs: number;

	constructor(nowMs: number) {
		this.#spanStartMs = nowMs;
	}

	/** Requests a second that are offered. */
	get perS(): number {
		return this.#perS;
	}

	/** Takes note of an offered request. */
	note(key: number | undefined): void {
		this.#offered++;
		if (key !== undefined && key < keyCount) {
			this.#counts[key]! += 1;
		}
	}

	/** Ends a span of counting. */
	advance(nowMs: number): void {
		const seconds = (nowMs - this.#spanStartMs) / milliseconds;
		if (seconds <= 0) {
			return;
		}

		this.#spanStartMs = nowMs;
		this.#perS += ((this.#offered / seconds) - this.#perS) * spanWeight;
		this.#offered = 0;
		for (let key = 0; key < keyCount; key++) {
			const rate = this.#rates[key]!;
			const count = this.#counts[key]!;
			if (rate !== 0 || count !== 0) {
				const next = rate + (((count / seconds) - rate) * spanWeight);
				this.#rates[key] = next < 0.01 ? 0 : next;
				this.#counts[key] = 0;
			}
		}
	}

	/** Lists the busiest of the given ranges. */
	listRangeLoads(ranges: readonly KeyRange[]): readonly RangeLoad[] {
		return ranges
			.map(range => this.#measureRange(range))
			.filter(({perS}) => perS >= minReportedPerS)
			.toSorted((left, right) => right.perS - left.perS)
			.slice(0, maxReported);
	}

	#measureRange({from, to}: KeyRange): RangeLoad {
		let perS = 0;
		for (let key = from; key <= to; key++) {
			perS += this.#rates[key]!;
		}

		let half = 0;
		let middleKey = from;
		while (middleKey < to && half + this.#rates[middleKey]! <= perS / 2) {
			half += this.#rates[middleKey]!;
			middleKey++;
		}

		return {
			from, to, perS: Math.round(perS * 10) / 10, middleKey,
		};
	}
}
