/** Requests are short if the mean service time of their kind is below this part of the slowest kind's. They come before the others of their priority, which they delay only slightly. */
const maxShortRatio = 0.5;

/** Weight of the newest sample in the mean service times, so that each mean covers about the last 20 requests. */
const sampleWeight = 0.05;

/** Assumed service time before the first measurement. */
const initialServiceMs = 50;

/** Mean service times of the requests of one backend server, of all and by kind. */
export class ServiceTimes {
	#meanMs = initialServiceMs;
	readonly #meanMsByKind = new Map<string, number>();

	get meanMs(): number {
		return this.#meanMs;
	}

	record(kind: string, serviceMs: number): void {
		const kindMs = this.#meanMsByKind.get(kind) ?? serviceMs;
		this.#meanMsByKind.set(kind, kindMs + ((serviceMs - kindMs) * sampleWeight));
		this.#meanMs += (serviceMs - this.#meanMs) * sampleWeight;
	}

	getMs(kind: string): number {
		return this.#meanMsByKind.get(kind) ?? this.#meanMs;
	}

	isShort(kind: string): boolean {
		return this.getMs(kind) < Math.max(...this.#meanMsByKind.values()) * maxShortRatio;
	}
}
