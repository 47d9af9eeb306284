import type {Clock} from '@buckthornpoint/clock/clock.js';
import {Agent, request} from 'undici';
import type {Cluster} from './cluster.js';
import {keyHeader, listWatchedKeys} from './workload.js';

const intervalMs = 200;
const deadlineMs = 250;
const retryIntervalMs = 20;
const callTimeoutMs = 400;

/** Asks for one key of each partition again and again, as callers do, and notes how long each went unanswered. */
export class ServiceWatch {
	readonly #cluster: Cluster;
	readonly #clock: Clock;
	readonly #agent = new Agent({connections: 16});
	readonly #longest = new Map<string, number>();
	readonly #closed = new AbortController();
	#turn = 0;

	constructor(cluster: Cluster, clock: Clock) {
		this.#cluster = cluster;
		this.#clock = clock;
	}

	/** Waits until every partition was answered once. */
	async waitForService(): Promise<void> {
		await Promise.all(listWatchedKeys().map(async key => this.#askUntilAnswered(key)));
	}

	/** Watches until the watch is closed. */
	async run(): Promise<void> {
		await Promise.all(listWatchedKeys().map(async key => this.#watchKey(key)));
		await this.#agent.destroy();
	}

	/** Returns the longest time without service of each partition so far, in milliseconds, in rising order; 0 where no call failed. */
	measureGaps(): readonly number[] {
		return listWatchedKeys().map(key => this.#longest.get(key) ?? 0).toSorted((left, right) => left - right);
	}

	/** Ends the watch. Keys that are without service then count up to now. */
	close(): void {
		this.#closed.abort();
	}

	async #watchKey(key: string): Promise<void> {
		while (!this.#closed.signal.aborted) {
			const startMs = this.#clock.readMoment().monotonicMs;
			const failures = await this.#askUntilAnswered(key);
			const gapMs = failures === 0 ? 0 : this.#clock.readMoment().monotonicMs - startMs;
			this.#longest.set(key, Math.max(this.#longest.get(key) ?? 0, gapMs));
			await this.#clock.sleep(intervalMs, this.#closed.signal);
		}
	}

	// Returns how many calls failed before one was answered.
	async #askUntilAnswered(key: string): Promise<number> {
		let failures = 0;
		while (!this.#closed.signal.aborted && !await this.#ask(key)) {
			failures++;
			await this.#clock.sleep(retryIntervalMs, this.#closed.signal);
		}

		return failures;
	}

	async #ask(key: string): Promise<boolean> {
		const usable = this.#cluster.vms.filter(({isUsable}) => isUsable);
		const vm = usable[this.#turn++ % usable.length];
		try {
			const response = await request(vm?.callerOrigin ?? '', {
				headers: {'buckthornpoint-service': 'sklad', [keyHeader]: key, 'buckthornpoint-deadline-ms': String(deadlineMs)},
				dispatcher: this.#agent,
				signal: AbortSignal.timeout(callTimeoutMs),
			});
			await response.body.dump();
			return response.statusCode === 200;
		} catch {
			return false;
		}
	}
}
