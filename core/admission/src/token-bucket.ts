export type TokenBucketOpts = {
	/** Tokens added per second. */
	readonly perS: number;
	readonly nowMs: number;
	/** The bucket that this one replaces. Its tokens are kept, as far as they fit. */
	readonly previous?: TokenBucket | undefined;
};

/** Tokens that may be saved up, in seconds of the rate. Less than the tick of the owner's timer times the rate would lose tokens. */
const burstSeconds = 0.25;

/** A bucket holds at least one token, or nothing could ever start. */
const minCapacity = 1;

/** Rate used for a limit below it, 0 included: without an occasional request, no answer would show that the limit has ended. */
const minPerS = 0.25;

/** Absorbs rounding errors of the refill. */
const tolerance = 1e-6;

const msPerSecond = 1000;

/** Rate limit that spreads starts evenly, with a small burst. Over any time t it allows at most `perS * t` starts and one burst. */
export class TokenBucket {
	readonly perS: number;
	readonly #perMs: number;
	readonly #capacity: number;
	#tokens: number;
	#updatedMs: number;

	constructor({perS, nowMs, previous}: TokenBucketOpts) {
		this.perS = perS;
		this.#perMs = Math.max(minPerS, perS) / msPerSecond;
		this.#capacity = Math.max(minCapacity, perS * burstSeconds);
		this.#tokens = Math.min(this.#capacity, previous === undefined ? minCapacity : previous.#readTokens(nowMs));
		this.#updatedMs = nowMs;
	}

	/** Returns whether a token is available. */
	hasToken(nowMs: number): boolean {
		return this.#readTokens(nowMs) >= 1 - tolerance;
	}

	/** Takes one token. */
	consume(nowMs: number): void {
		this.#tokens = this.#readTokens(nowMs) - 1;
		this.#updatedMs = nowMs;
	}

	/** Estimates the time in milliseconds until `count` tokens have become available. */
	estimateWait(count: number, nowMs: number): number {
		const missing = count - this.#readTokens(nowMs);
		return missing <= tolerance ? 0 : missing / this.#perMs;
	}

	#readTokens(nowMs: number): number {
		return Math.min(this.#capacity, this.#tokens + ((nowMs - this.#updatedMs) * this.#perMs));
	}
}
