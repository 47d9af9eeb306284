/** Limits of a window. */
export type RateWindowOpts = {
	/** The most events in any span. */
	readonly limit: number;
	readonly spanMs: number;
	/** A window whose events count in the new one. */
	readonly past?: RateWindow | undefined;
};

/** Counts events in a sliding span, exactly. */
export class RateWindow {
	readonly limit: number;
	readonly #spanMs: number;
	readonly #times: number[] = [];

	constructor({limit, spanMs, past}: RateWindowOpts) {
		this.limit = limit;
		this.#spanMs = spanMs;
		this.#times = past === undefined ? [] : [...past.#times];
	}

	/** Takes note of an event. */
	note(nowMs: number): void {
		this.#times.push(nowMs);
	}

	/** Tells whether one more event would pass the limit. */
	isFull(nowMs: number): boolean {
		this.#expirePast(nowMs);
		return this.#times.length >= this.limit;
	}

	/** Counts the events of the span that ends now. */
	count(nowMs: number): number {
		this.#expirePast(nowMs);
		return this.#times.length;
	}

	/** Estimates the time until so many more events are allowed, in milliseconds. */
	estimateWait(events: number, nowMs: number): number {
		this.#expirePast(nowMs);
		const excess = this.#times.length + events - this.limit;
		if (excess <= 0) {
			return 0;
		}

		const freed = this.#times[excess - 1];
		return freed === undefined ? this.#spanMs * excess / Math.max(1, this.limit) : freed + this.#spanMs - nowMs;
	}

	#expirePast(nowMs: number): void {
		let expired = 0;
		while (expired < this.#times.length && this.#times[expired]! <= nowMs - this.#spanMs) {
			expired++;
		}

		if (expired > 0) {
			this.#times.splice(0, expired);
		}
	}
}
