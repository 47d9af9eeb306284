import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {createPool} from '@buckthornpoint/http1/create-pool.js';
import type {Pool} from 'undici';
import {
	CallPath, exchange, type Call, type CallResult,
} from './call.js';

const maxAttempts = 4;

/** Options of `NaivePath`. */
export type NaivePathOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Origins of the backend servers. */
	readonly origins: readonly string[];
};

/**
 * The naive router that serves as the baseline: each attempt goes directly to a backend server picked at random; up to four
 * attempts in immediate succession, without concurrency limits and without a node in between.
 */
export class NaivePath extends CallPath {
	readonly #opts: NaivePathOpts;
	readonly #pools: readonly Pool[];

	constructor(opts: NaivePathOpts) {
		super();
		this.#opts = opts;
		this.#pools = opts.origins.map(origin => createPool(origin, {pipelining: 1}));
	}

	override async send(call: Call): Promise<CallResult> {
		const startedMs = this.#opts.clock.readTimestamp().monotonicMs;
		let result = await this.#sendOnce(call, call.deadlineMs);
		let attempts = 1;
		while (result.kind !== 'answer' && call.idempotent && attempts < maxAttempts) {
			const remainingMs = call.deadlineMs - (this.#opts.clock.readTimestamp().monotonicMs - startedMs);
			if (remainingMs <= 0) {
				break;
			}

			result = await this.#sendOnce(call, remainingMs);
			attempts++;
		}

		return {
			...result, call, attempts, latencyMs: this.#opts.clock.readTimestamp().monotonicMs - startedMs,
		};
	}

	override async close(): Promise<void> {
		await Promise.all(this.#pools.map(async pool => pool.destroy()));
	}

	async #sendOnce(call: Call, remainingMs: number): Promise<CallResult> {
		const pool = this.#pools[this.#opts.random.generateIntegerBelow(this.#pools.length)];
		return exchange(this.#opts.clock, pool, {...call, deadlineMs: Math.ceil(remainingMs)});
	}
}
