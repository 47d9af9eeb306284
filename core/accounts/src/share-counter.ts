import {SlotCounter} from './slot-counter.js';

const msPerSecond = 1000;

/** Absorbs rounding errors of the refill. */
const tolerance = 1e-6;

/**
 * Counts requests against a share. In any window at most the quota passes; over longer times no more than the rate. The tokens of the rate
 * need not be exact when shares move, since the windows bound what passes.
 */
export class ShareCounter {
	readonly #passed = new SlotCounter();
	#quota = 0;
	#perS = 0;
	#tokens = 0;
	#updatedMs = Number.NEGATIVE_INFINITY;

	get quota(): number {
		return this.#quota;
	}

	get perS(): number {
		return this.#perS;
	}

	/** Returns the requests that passed in the latest window. */
	readPassed(nowMs: number): number {
		return this.#passed.read(nowMs);
	}

	/** Changes the share, and the tokens by as much: shares that go back and forth must not add tokens. */
	update(quota: number, perS: number, nowMs: number): void {
		this.#advance(nowMs);
		this.#tokens = Math.min(quota, this.#tokens + quota - this.#quota);
		this.#quota = quota;
		this.#perS = perS;
	}

	/** Counts a request. Returns undefined if it may pass, or the milliseconds until one may; infinite without a share. */
	consume(nowMs: number): number | undefined {
		this.#advance(nowMs);
		const waitMs = this.#quota === 0 || this.#perS === 0
			? Number.POSITIVE_INFINITY
			: Math.max((1 - tolerance - this.#tokens) * msPerSecond / this.#perS, this.#measureWindowWaitMs(nowMs));
		if (waitMs > 0) {
			return waitMs;
		}

		this.#tokens--;
		this.#passed.add(nowMs);
		return undefined;
	}

	/** Counts a request against a number of requests in a window, whatever the share. Returns as `consume`. */
	consumeUpTo(count: number, nowMs: number): number | undefined {
		if (this.#passed.read(nowMs) >= count) {
			return this.#passed.measureWaitMs(count - 1, nowMs);
		}

		this.#passed.add(nowMs);
		return undefined;
	}

	/** Takes back a request that did not run. */
	giveBack(): void {
		this.#passed.remove();
		this.#tokens = Math.min(this.#quota, this.#tokens + 1);
	}

	#measureWindowWaitMs(nowMs: number): number {
		return this.#passed.read(nowMs) < this.#quota ? 0 : this.#passed.measureWaitMs(this.#quota - 1, nowMs);
	}

	#advance(nowMs: number): void {
		const passedMs = nowMs - this.#updatedMs;
		if (passedMs > 0) {
			this.#tokens = Math.min(this.#quota, this.#tokens + (this.#perS === 0 ? 0 : passedMs * this.#perS / msPerSecond));
			this.#updatedMs = nowMs;
		}
	}
}
