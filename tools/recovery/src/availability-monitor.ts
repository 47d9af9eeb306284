import type {Clock} from '@buckthornpoint/clock/clock.js';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';
import type {Cluster} from './cluster.js';
import {keyHeader, listProbeKeys} from './workload.js';

const intervalMs = 200;
const deadlineMs = 250;
const retryIntervalMs = 20;
const callTimeoutMs = 400;

/** Repeatedly calls one key of each partition, as callers do, and records the longest time for which each was unavailable. */
export class AvailabilityMonitor {
	readonly #cluster: Cluster;
	readonly #clock: Clock;
	readonly #longestOutageMs = new Map<string, number>();
	readonly #closed = new AbortController();
	#nextVmIndex = 0;

	constructor(cluster: Cluster, clock: Clock) {
		this.#cluster = cluster;
		this.#clock = clock;
	}

	/** Waits until a call to every partition was answered. */
	async waitForService(): Promise<void> {
		await Promise.all(listProbeKeys().map(async key => this.#callUntilAnswered(key)));
	}

	/** Monitors all partitions until the monitor is closed. */
	async run(): Promise<void> {
		await Promise.all(listProbeKeys().map(async key => this.#watchKey(key)));
	}

	/** Returns the longest outage of each partition so far, in ascending order; 0 for partitions without a failed call. */
	listLongestOutagesMs(): readonly number[] {
		return listProbeKeys().map(key => this.#longestOutageMs.get(key) ?? 0).toSorted((left, right) => left - right);
	}

	/** Ends the monitoring. Outages that are still going on are counted until now. */
	close(): void {
		this.#closed.abort();
	}

	async #watchKey(key: string): Promise<void> {
		while (!this.#closed.signal.aborted) {
			const startMs = this.#clock.readTimestamp().monotonicMs;
			const failures = await this.#callUntilAnswered(key);
			const outageMs = failures === 0 ? 0 : this.#clock.readTimestamp().monotonicMs - startMs;
			this.#longestOutageMs.set(key, Math.max(this.#longestOutageMs.get(key) ?? 0, outageMs));
			await this.#clock.sleep(intervalMs, this.#closed.signal);
		}
	}

	// Returns how many calls failed before one was answered or the monitor was closed.
	async #callUntilAnswered(key: string): Promise<number> {
		let failures = 0;
		while (!this.#closed.signal.aborted && !await this.#call(key)) {
			failures++;
			await this.#clock.sleep(retryIntervalMs, this.#closed.signal);
		}

		return failures;
	}

	async #call(key: string): Promise<boolean> {
		const running = this.#cluster.vms.filter(({isRunning}) => isRunning);
		const vm = running[this.#nextVmIndex++ % running.length];
		try {
			const response = await sendRequest(vm?.callerOrigin ?? '', {
				headers: {'buckthornpoint-service': 'sklad', [keyHeader]: key, 'buckthornpoint-deadline-ms': String(deadlineMs)},
				signal: AbortSignal.timeout(callTimeoutMs),
			});
			await response.body.dump();
			return response.statusCode === 200;
		} catch {
			return false;
		}
	}
}
