import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {
	configurationKey, decodeRouteTable, operatorTable, parseEvacuationKey,
} from '@buckthornpoint/fleet/operator-rows.js';
import type {FleetStore, Snapshot, StoredRow} from '@buckthornpoint/fleet/fleet-store.js';
import type {RouteTable} from '@buckthornpoint/routes/routes.js';

/** Changes to the operator's rows in the store, and failures to read them. */
export type OperatorChange
	= | {readonly kind: 'routes'; readonly table: RouteTable; readonly document: string}
		| {readonly kind: 'evacuation'; readonly domain: string; readonly isEvacuated: boolean; readonly version: number}
		/** All changes up to this version of the store have been reported. */
		| {readonly kind: 'caught-up'; readonly version: number}
		| {readonly kind: 'invalid'; readonly problem: string}
		/** A row was not applied, since the node has applied version `appliedVersion` of it. */
		| {readonly kind: 'ignored'; readonly key: string; readonly version: number; readonly appliedVersion: number}
		| {readonly kind: 'store-failed'; readonly problem: string}
		| {readonly kind: 'store-regained'; readonly awayMs: number};

/** Dependencies of a `RoutesTask`. */
export type RoutesTaskOpts = {
	readonly store: FleetStore;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Whether a controller that reaches the store replies to this node: it then forwards changes that the watch misses. */
	readonly isFollowing: () => boolean;
	readonly onChange: (change: OperatorChange) => void;
};

/** Long-poll time of a watch. A dead connection is detected shortly after it. */
const watchTimeoutMs = 3000;

/** Long-poll time while the controller forwards missed changes. It is longer, since each poll of each node is a call to the store. */
const followerWatchTimeoutMs = 25_000;

/** Delay after a failure. A random part of up to the same length is added. */
const retryDelayMs = 150;

/** Limit of the exponential backoff, which applies only while the controller forwards missed changes. */
const maxFollowerRetryDelayMs = 2400;

/** Watches the operator's rows and reports changes in the order of their versions. An older row never overrides a newer one. */
export class RoutesTask {
	readonly #opts: RoutesTaskOpts;
	readonly #rowVersions = new Map<string, number>();
	readonly #evacuatedDomains = new Set<string>();
	readonly #stopAbort = new AbortController();
	#watchAbort = new AbortController();
	#failedSinceMs: number | undefined;
	#consecutiveFailures = 0;
	#delayAbort = new AbortController();

	constructor(opts: RoutesTaskOpts) {
		this.#opts = opts;
	}

	/** Runs until the task is closed. */
	async run(): Promise<void> {
		let afterVersion: number | undefined;
		while (!this.#stopAbort.signal.aborted) {
			afterVersion = afterVersion === undefined ? await this.#readAll() : await this.#watchTable(afterVersion);
		}
	}

	/** Restarts the watch, or retries immediately after a failure. Call it after an outage of the store: the watch may hang on a dead connection. */
	refresh(): void {
		this.#watchAbort.abort();
		this.#delayAbort.abort();
	}

	close(): void {
		this.#stopAbort.abort();
		this.refresh();
	}

	async #readAll(): Promise<number | undefined> {
		const read = await this.#opts.store.readTable(operatorTable);
		if (read.isErr()) {
			await this.#waitAfterFailure(read.error.error.message);
			return undefined;
		}

		this.#recordStoreSuccess();
		this.#applySnapshot(read.value);
		this.#opts.onChange({kind: 'caught-up', version: read.value.version});
		return read.value.version;
	}

	async #watchTable(afterVersion: number): Promise<number | undefined> {
		const changes = await this.#opts.store.watchTable(operatorTable, afterVersion, {waitMs: this.#opts.isFollowing() ? followerWatchTimeoutMs : watchTimeoutMs, signal: this.#watchAbort.signal});
		if (changes.isErr() && this.#watchAbort.signal.aborted) {
			this.#watchAbort = new AbortController();
			return afterVersion;
		}

		if (changes.isErr()) {
			await this.#waitAfterFailure(changes.error.error.message);
			return afterVersion;
		}

		this.#recordStoreSuccess();
		if (changes.value.kind === 'history-lost') {
			return undefined;
		}

		for (const row of changes.value.snapshot.rows) {
			this.#applyRow(row);
		}

		const {version} = changes.value.snapshot;
		this.#opts.onChange({kind: 'caught-up', version});
		return Math.max(afterVersion, version);
	}

	#applySnapshot({rows, version}: Snapshot): void {
		const present = new Set<string>();
		for (const row of rows) {
			this.#applyRow(row);
			present.add(row.key);
		}

		for (const domain of this.#evacuatedDomains) {
			const key = [...this.#rowVersions.keys()].find(candidate => parseEvacuationKey(candidate) === domain) ?? '';
			if (!present.has(key) && version > (this.#rowVersions.get(key) ?? 0)) {
				this.#applyRow({
					table: operatorTable, key, value: undefined, version,
				});
			}
		}
	}

	#applyRow({key, value, version}: StoredRow): void {
		const appliedVersion = this.#rowVersions.get(key) ?? 0;
		if (version <= appliedVersion) {
			if (version < appliedVersion) {
				this.#opts.onChange({
					kind: 'ignored', key, version, appliedVersion,
				});
			}

			return;
		}

		this.#rowVersions.set(key, version);
		const domain = parseEvacuationKey(key);
		if (domain !== undefined) {
			this.#applyEvacuation(domain, value !== undefined, version);
		} else if (key === configurationKey && value !== undefined) {
			this.#opts.onChange(decodeRouteTable(value).match(
				(table): OperatorChange => ({kind: 'routes', table, document: value}),
				(problem): OperatorChange => ({kind: 'invalid', problem}),
			));
		}
	}

	#applyEvacuation(domain: string, isEvacuated: boolean, version: number): void {
		if (isEvacuated) {
			this.#evacuatedDomains.add(domain);
		} else {
			this.#evacuatedDomains.delete(domain);
		}

		this.#opts.onChange({
			kind: 'evacuation', domain, isEvacuated, version,
		});
	}

	async #waitAfterFailure(problem: string): Promise<void> {
		if (this.#failedSinceMs === undefined) {
			this.#failedSinceMs = this.#opts.clock.readTimestamp().monotonicMs;
			this.#opts.onChange({kind: 'store-failed', problem});
		}

		const maxDelayMs = this.#opts.isFollowing() ? maxFollowerRetryDelayMs : retryDelayMs;
		const delayMs = Math.min(maxDelayMs, retryDelayMs * (2 ** this.#consecutiveFailures));
		this.#consecutiveFailures++;
		await this.#opts.clock.sleep(delayMs * (1 + this.#opts.random.generateFraction()), this.#delayAbort.signal);
		this.#delayAbort = new AbortController();
	}

	#recordStoreSuccess(): void {
		this.#consecutiveFailures = 0;
		if (this.#failedSinceMs !== undefined) {
			this.#opts.onChange({kind: 'store-regained', awayMs: Math.round(this.#opts.clock.readTimestamp().monotonicMs - this.#failedSinceMs)});
			this.#failedSinceMs = undefined;
		}
	}
}
