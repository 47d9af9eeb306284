export type RateWindowOpts = {
	/** Greatest number of events in any span. */
	readonly limit: number;
	readonly spanMs: number;
	/** The window that this one replaces. Its events also count in this one. */
	readonly previous?: RateWindow | undefined;
};

/** Exact sliding-window rate limit. */
export class RateWindow {
	readonly limit: number;
	readonly #spanMs: number;
	readonly #eventTimesMs: number[] = [];

	constructor({limit, spanMs, previous}: RateWindowOpts) {
		this.limit = limit;
		this.#spanMs = spanMs;
		this.#eventTimesMs = previous === undefined ? [] : [...previous.#eventTimesMs];
	}

	record(nowMs: number): void {
		this.#eventTimesMs.push(nowMs);
	}

	/** Returns whether one more event would exceed the limit. */
	isFull(nowMs: number): boolean {
		this.#expireEvents(nowMs);
		return this.#eventTimesMs.length >= this.limit;
	}

	/** Counts the events in the span that ends now. */
	count(nowMs: number): number {
		this.#expireEvents(nowMs);
		return this.#eventTimesMs.length;
	}

	/** Estimates the time in milliseconds until `events` more events are allowed. */
	estimateWait(events: number, nowMs: number): number {
		this.#expireEvents(nowMs);
		const excess = this.#eventTimesMs.length + events - this.limit;
		if (excess <= 0) {
			return 0;
		}

		const freedMs = this.#eventTimesMs[excess - 1];
		return freedMs === undefined ? this.#spanMs * excess / Math.max(1, this.limit) : freedMs + this.#spanMs - nowMs;
	}

	#expireEvents(nowMs: number): void {
		let expired = 0;
		while (expired < this.#eventTimesMs.length && this.#eventTimesMs[expired]! <= nowMs - this.#spanMs) {
			expired++;
		}

		if (expired > 0) {
			this.#eventTimesMs.splice(0, expired);
		}
	}
}
