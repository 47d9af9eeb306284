import {RateWindow} from './rate-window.js';
import {TokenBucket} from './token-bucket.js';

const coldSpanMs = 1000;

/** The rates of starts that a backend server accepts: while it is cold, and as it advertises. */
export class StartLimits {
	#coldWindow: RateWindow | undefined;
	/** Starts that the server's rate limit allows; undefined without a limit. */
	#tokens: TokenBucket | undefined;
	/** Times at which callers refused because of the rate limit were told to retry. */
	#promisedMs: readonly number[] = [];

	get isCold(): boolean {
		return this.#coldWindow !== undefined;
	}

	get hasRateLimit(): boolean {
		return this.#tokens !== undefined;
	}

	/** Starts per millisecond that the cold limit allows; infinite while the server is warm. */
	get coldPerMs(): number {
		return (this.#coldWindow?.limit ?? Number.POSITIVE_INFINITY) / coldSpanMs;
	}

	/** Limits the starts per second while the server is cold; undefined removes the limit. */
	setColdLimit(startsPerSecond: number | undefined): void {
		if (startsPerSecond === undefined) {
			this.#coldWindow = undefined;
		} else if (this.#coldWindow?.limit !== startsPerSecond) {
			this.#coldWindow = new RateWindow({limit: startsPerSecond, spanMs: coldSpanMs, previous: this.#coldWindow});
		}
	}

	/** Limits the rate of starts, warm or cold; undefined removes the limit. Returns whether a new limit applies. */
	setRateLimit(perS: number | undefined, nowMs: number): boolean {
		if (perS === undefined) {
			this.#tokens = undefined;
			this.#promisedMs = [];
			return false;
		}

		if (this.#tokens?.perS === perS) {
			return false;
		}

		this.#tokens = new TokenBucket({perS, nowMs, previous: this.#tokens});
		return true;
	}

	/** Returns whether the limits allow a start now. */
	mayStart(nowMs: number): boolean {
		return this.#coldWindow?.isFull(nowMs) !== true && this.#tokens?.hasToken(nowMs) !== false;
	}

	recordStarted(nowMs: number): void {
		this.#coldWindow?.record(nowMs);
		this.#tokens?.consume(nowMs);
	}

	/** Estimates the time until both limits allow one more start after those ahead of it. */
	estimateWait(startsAhead: number, nowMs: number): number {
		const coldMs = this.#coldWindow === undefined ? 0 : this.#coldWindow.estimateWait(startsAhead + 1, nowMs);
		return Math.max(coldMs, this.estimateRateWait(startsAhead, nowMs));
	}

	/** Estimates the time until the rate limit allows one more start after those ahead of it. */
	estimateRateWait(startsAhead: number, nowMs: number): number {
		return this.#tokens?.estimateWait(startsAhead + 1, nowMs) ?? 0;
	}

	/** Returns the wait until the rate limit allows a start that neither a waiting request nor a caller told to retry earlier takes. */
	promiseRetry(startsAhead: number, {mayWait, endMs}: {readonly mayWait: boolean; readonly endMs: number}, nowMs: number): number {
		this.#promisedMs = this.#promisedMs.filter(promisedMs => promisedMs > nowMs);
		const waitMs = this.estimateRateWait(startsAhead + this.#promisedMs.length, nowMs);
		// A request that may not wait is offered to another server, and a caller whose deadline is earlier does not retry.
		if (mayWait && nowMs + waitMs < endMs) {
			this.#promisedMs = [...this.#promisedMs, nowMs + waitMs];
		}

		return waitMs;
	}
}
