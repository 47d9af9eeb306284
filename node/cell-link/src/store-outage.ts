import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {ControlEvent} from './control-event.js';

/** Delay before the next write after a store failure. A random part of up to half of it is added. */
const storeRetryDelayMs = 200;

/** Reports outages of the store once, when they begin and end, and delays writes after a failure. */
export class StoreOutage {
	readonly #opts: {readonly clock: Clock; readonly random: RandomSource; readonly onEvent: (event: ControlEvent) => void};
	#failedSinceMs: number | undefined;
	#retryMs = 0;

	constructor(opts: {readonly clock: Clock; readonly random: RandomSource; readonly onEvent: (event: ControlEvent) => void}) {
		this.#opts = opts;
	}

	/** When the next write may be sent. */
	get retryMs(): number {
		return this.#retryMs;
	}

	recordFailure(operation: string, problem: string): void {
		this.#retryMs = this.#readNowMs() + (storeRetryDelayMs * (1 + (this.#opts.random.generateFraction() / 2)));
		if (this.#failedSinceMs === undefined) {
			this.#failedSinceMs = this.#readNowMs();
			this.#opts.onEvent({kind: 'store-failed', operation, problem});
		}
	}

	recordSuccess(): void {
		if (this.#failedSinceMs !== undefined) {
			this.#opts.onEvent({kind: 'store-regained', awayMs: Math.round(this.#readNowMs() - this.#failedSinceMs)});
			this.#failedSinceMs = undefined;
		}
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
