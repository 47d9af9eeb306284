import {
	configurationKey, decodeRouteTable, formatEvacuationKey, operatorTable, parseEvacuationKey,
} from '@buckthornpoint/fleet/operator-rows.js';
import type {Snapshot, StoredRow, StoreEra} from '@buckthornpoint/fleet/fleet-store.js';
import type {StorePosition} from '@buckthornpoint/key-ranges/messages.js';
import type {RouteTable} from '@buckthornpoint/routes/routes.js';
import {ContradictedOrders, type RetainedEvacuation} from './contradicted-orders.js';
import type {RoutesTaskOpts} from './routes-task-opts.js';

/** Changes to the operator's rows in the store, and failures to read them. */
export type OperatorChange
	= | {readonly kind: 'routes'; readonly table: RouteTable; readonly document: string}
		| {readonly kind: 'evacuation'; readonly domain: string; readonly isEvacuated: boolean; readonly position: StorePosition}
		/** All changes up to this position have been reported. */
		| {readonly kind: 'caught-up'; readonly position: StorePosition}
		/** The store returned from a copy that contradicts what is known of a failure domain; the known state is kept for a time. */
		| {readonly kind: 'contradicted'; readonly domain: string; readonly isEvacuated: boolean}
		| {readonly kind: 'invalid'; readonly problem: string}
		/** A row was not applied, since the node has applied version `appliedVersion` of it. */
		| {readonly kind: 'ignored'; readonly key: string; readonly version: number; readonly appliedVersion: number}
		| {readonly kind: 'store-failed'; readonly problem: string}
		| {readonly kind: 'store-regained'; readonly awayMs: number};

/** Long-poll time of a watch. A dead connection is detected shortly after it. */
const watchTimeoutMs = 3000;

/** Long-poll time while the controller forwards missed changes. It is longer, since each poll of each node is a call to the store. */
const followerWatchTimeoutMs = 25_000;

/** Delay after a failure. A random part of up to the same length is added. */
const retryDelayMs = 150;

/** Delay after an error that is none of the store's. A random part of up to the same length is added. */
const errorDelayMs = 250;

/** Limit of the exponential backoff, which applies only while the controller forwards missed changes. */
const maxFollowerRetryDelayMs = 2400;

/** An evacuation that another node keeps for less than this is about to end there, and is not taken up. */
const minRetentionMs = 1000;

/** Number of versions of a row that are remembered, to recognize the row if the store returns from a copy with one of them. */
const maxRememberedVersions = 16;

/**
 * Watches the operator's rows and reports changes in the order of their versions. Within an era of the store, an older row
 * never overrides a newer one. When a new era begins, all rows are read again.
 */
export class RoutesTask {
	readonly #opts: RoutesTaskOpts;
	readonly #contradicted: ContradictedOrders;
	/** The last applied version of each row, in the era `#era`. */
	#rowVersions = new Map<string, number>();
	/** The versions in which each row was seen in the era `#era`, latest last. */
	#seenVersions = new Map<string, readonly number[]>();
	#era: StoreEra | undefined;
	/** The latest version that was read. */
	#version = 0;
	readonly #stopAbort = new AbortController();
	#watchAbort = new AbortController();
	#failedSinceMs: number | undefined;
	#consecutiveFailures = 0;
	#delayAbort = new AbortController();
	/** Whether something was not applied because of an error that is none of the store's. */
	#hasFailed = false;

	constructor(opts: RoutesTaskOpts) {
		this.#opts = opts;
		this.#contradicted = new ContradictedOrders(opts.clock, (domain, wasEvacuated) => {
			this.#reportEvacuation(domain, !wasEvacuated, this.#version);
		});
	}

	/** Lists the evacuations that are kept although the store, after a return, lacks them. */
	listRetained(): readonly RetainedEvacuation[] {
		return this.#contradicted.listRetained();
	}

	/** Keeps evacuations that another node knows from an earlier era, unless their rows were written in this era. */
	addRetained(evacuations: readonly RetainedEvacuation[]): void {
		for (const {domain, remainingMs} of evacuations) {
			if (remainingMs > minRetentionMs && !this.#contradicted.has(domain) && !this.#rowVersions.has(formatEvacuationKey(domain))) {
				this.#contradicted.add(domain, true, remainingMs);
				this.#reportEvacuation(domain, true, this.#version);
			}
		}
	}

	/** Runs until the task is closed. */
	async run(): Promise<void> {
		let afterVersion: number | undefined;
		while (!this.#stopAbort.signal.aborted) {
			try {
				afterVersion = afterVersion === undefined ? await this.#readAll() : await this.#watchTable(afterVersion);
			} catch (error) {
				this.#reportError(error);
			}

			if (this.#hasFailed) {
				this.#hasFailed = false;
				afterVersion = undefined;
				await this.#opts.clock.sleep(errorDelayMs * (1 + this.#opts.random.generateFraction()), this.#stopAbort.signal);
			}
		}
	}

	/** Restarts the watch, or retries immediately after a failure. Call it after an outage of the store: the watch may hang on a dead connection. */
	refresh(): void {
		this.#watchAbort.abort();
		this.#delayAbort.abort();
	}

	close(): void {
		this.#stopAbort.abort();
		this.#contradicted.close();
		this.refresh();
	}

	async #readAll(): Promise<number | undefined> {
		const read = await this.#opts.store.readTable(operatorTable);
		if (read.isErr()) {
			await this.#waitAfterFailure(read.error.error.message);
			return undefined;
		}

		this.#recordStoreSuccess();
		if (this.#era === undefined) {
			await this.#opts.waitForLaterRoutes();
		}

		if (read.value.era !== this.#era) {
			this.#startEra(read.value);
		}

		this.#applySnapshot(read.value);
		this.#reportCaughtUp(read.value.version);
		return read.value.version;
	}

	/** Returns the version to go on from; undefined if all rows must be read again. */
	async #watchTable(afterVersion: number): Promise<number | undefined> {
		const changes = await this.#opts.store.watchTable(operatorTable, afterVersion, {waitMs: this.#opts.isFollowing() ? followerWatchTimeoutMs : watchTimeoutMs, signal: this.#watchAbort.signal});
		const isAborted = changes.isErr() && this.#watchAbort.signal.aborted;
		if (isAborted) {
			this.#watchAbort = new AbortController();
		} else if (changes.isErr()) {
			await this.#waitAfterFailure(changes.error.error.message);
		} else {
			this.#recordStoreSuccess();
		}

		if (this.#opts.store.era !== this.#era) {
			return undefined;
		}

		if (changes.isErr()) {
			return afterVersion;
		}

		if (changes.value.kind === 'history-lost' || changes.value.snapshot.era !== this.#era) {
			return undefined;
		}

		const {version, rows} = changes.value.snapshot;
		for (const row of rows) {
			this.#applyRow(row);
		}

		this.#reportCaughtUp(version);
		return Math.max(afterVersion, version);
	}

	/** Compares the copy that the store returned from with what is known. Rows that were known in the version of the copy are older than their removal. */
	#startEra({rows, era, version}: Snapshot): void {
		const seenVersions = this.#seenVersions;
		const evacuated = new Set(this.#era === undefined ? [] : this.#opts.listEvacuated());
		this.#era = era;
		this.#version = version;
		this.#rowVersions = new Map();
		this.#seenVersions = new Map();
		for (const domain of evacuated) {
			if (!rows.some(({key}) => key === formatEvacuationKey(domain))) {
				this.#recordContradiction(domain, true);
			}
		}

		for (const row of rows) {
			const domain = parseEvacuationKey(row.key);
			if (domain !== undefined && !evacuated.has(domain) && seenVersions.get(row.key)?.includes(row.version) === true) {
				this.#rowVersions.set(row.key, row.version);
				this.#seenVersions.set(row.key, [row.version]);
				this.#recordContradiction(domain, false);
			}
		}
	}

	#recordContradiction(domain: string, isEvacuated: boolean): void {
		this.#contradicted.add(domain, isEvacuated);
		this.#opts.onChange({kind: 'contradicted', domain, isEvacuated});
	}

	#applySnapshot({rows, version}: Snapshot): void {
		for (const row of rows) {
			this.#applyRow(row);
		}

		const present = new Set(rows.map(({key}) => key));
		for (const domain of this.#opts.listEvacuated()) {
			const key = formatEvacuationKey(domain);
			if (!present.has(key) && !this.#contradicted.has(domain)) {
				this.#applyRow({
					table: operatorTable, key, value: undefined, version,
				});
			}
		}
	}

	#reportError(error: unknown): void {
		this.#hasFailed = true;
		this.#opts.onProblem(`rows of the operator were not applied and are read again: ${error instanceof Error ? error.stack ?? error.message : String(error)}`);
	}

	/** Applies a row. One that can't be applied does not keep the others from being applied. */
	#applyRow(row: StoredRow): void {
		const appliedVersion = this.#rowVersions.get(row.key) ?? 0;
		try {
			this.#applyNewerRow(row, appliedVersion);
		} catch (error) {
			this.#rowVersions.set(row.key, appliedVersion);
			this.#reportError(error);
		}
	}

	#applyNewerRow({key, value, version}: StoredRow, appliedVersion: number): void {
		if (version <= appliedVersion) {
			if (version < appliedVersion) {
				this.#opts.onChange({
					kind: 'ignored', key, version, appliedVersion,
				});
			}

			return;
		}

		this.#rowVersions.set(key, version);
		this.#seenVersions.set(key, [...this.#seenVersions.get(key) ?? [], version].slice(-maxRememberedVersions));
		const domain = parseEvacuationKey(key);
		if (domain !== undefined) {
			this.#contradicted.remove(domain);
			this.#reportEvacuation(domain, value !== undefined, version);
		} else if (key === configurationKey && value !== undefined) {
			this.#opts.onChange(decodeRouteTable(value).match(
				(table): OperatorChange => ({kind: 'routes', table, document: value}),
				(problem): OperatorChange => ({kind: 'invalid', problem}),
			));
		}
	}

	#reportEvacuation(domain: string, isEvacuated: boolean, version: number): void {
		this.#opts.onChange({
			kind: 'evacuation', domain, isEvacuated, position: {era: this.#era ?? 0, version},
		});
	}

	#reportCaughtUp(version: number): void {
		this.#version = Math.max(this.#version, version);
		this.#opts.onChange({kind: 'caught-up', position: {era: this.#era ?? 0, version}});
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
