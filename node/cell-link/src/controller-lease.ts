import type {FleetStore, Snapshot, StoredRow} from '@buckthornpoint/fleet/fleet-store.js';
import type {RangeMap} from '@buckthornpoint/key-ranges/range-map.js';
import {decodeRangeMap, encodeRangeMap} from '@buckthornpoint/key-ranges/range-map-record.js';
import type {StoreFailure} from '@buckthornpoint/table-store/table-store.js';
import {err, ok, type Result} from 'neverthrow';
import {
	cellTable, controllerKey, decodeControllerRecord, getMapKey, isMapKey, type ControllerRecord,
} from './controller-record.js';

/** Identifies the node process that holds a controller lease. */
export type ControlIdentity = {
	readonly vmId: string;
	/** Unique for each instance of the node process. */
	readonly incarnation: string;
	readonly address: string;
};

/** Dependencies of a `ControllerLease`. */
export type ControllerLeaseOpts = {
	readonly identity: ControlIdentity;
	readonly store: FleetStore;
	/** Reads a monotonic clock. */
	readonly readNowMs: () => number;
};

/** State found in the store when this node took over as controller. */
export type Takeover = {
	readonly record: ControllerRecord;
	readonly previousRecord: ControllerRecord | undefined;
	readonly maps: readonly RangeMap[];
	/** Decoding errors of stored range maps. */
	readonly problems: readonly string[];
	/** Upper bound on the remaining time of leases granted by any earlier controller. */
	readonly earlierLeasesMs: number;
	/** The same bound for the controllers before the previous one. */
	readonly inheritedLeasesMs: number;
};

/** Result of a controller lookup. `contested`: there is no controller, and this node did not become it. */
export type ControllerSearchResult = {readonly kind: 'other'; readonly address: string} | {readonly kind: 'taken'; readonly takeover: Takeover} | {readonly kind: 'contested'};

/** State of the stored rows after a write that failed or whose outcome is unknown. */
export type ReadBackResult
	= | {readonly kind: 'held'; readonly written: readonly RangeMap[]; readonly rowVersion: number; readonly heldVersion: number}
		| {readonly kind: 'lost'; readonly epoch: number};

/** No other node takes over within this time after a renewal. A lost controller is thus replaced after about 4 s. */
export const controllerTermMs = 3000;

/** How long the controller can grant leases without reaching the store: longer than outages of the store, which last about 10 s. */
const leaseHorizonMs = 25_000;

/** Maximum number of attempts to release the lease. A renewal that was already in transit can change the row first and cause a conflict. */
const maxReleaseAttempts = 3;

/** Maximum relative drift between the store's clock and the local clock. */
const maxClockDrift = 0.02;

type HeldRow = {
	readonly record: ControllerRecord;
	/** Version of the controller's row. */
	readonly rowVersion: number;
	/** Row versions of the range maps, by key. */
	readonly mapVersions: ReadonlyMap<string, number>;
	/** Upper bound of the store's clock at the local time `storeTimeSampledAtMs`. */
	readonly maxStoreTimeMs: number;
	readonly storeTimeSampledAtMs: number;
	readonly renewedMs: number;
};

/**
 * The lease on the controller role, kept as a row in the store. Range maps are written only in the same transaction as
 * this row, so that a node that lost the lease cannot write them.
 */
export class ControllerLease {
	readonly #opts: ControllerLeaseOpts;
	#held: HeldRow | undefined;

	constructor(opts: ControllerLeaseOpts) {
		this.#opts = opts;
	}

	/** The epoch of the held lease, or undefined if this node does not hold it. */
	get epoch(): number | undefined {
		return this.#held?.record.epoch;
	}

	/** Measures the time since the last renewal that the store acknowledged. */
	measureRenewalAgeMs(): number {
		return this.#held === undefined ? Number.POSITIVE_INFINITY : this.#opts.readNowMs() - this.#held.renewedMs;
	}

	/** Measures the longest lease that can be granted to a node: it must end before the bound recorded in the store. */
	measureMaxLeaseMs(): number {
		return this.#held === undefined ? 0 : (this.#held.record.leasesEndMs - this.#estimateMaxStoreTimeMs(this.#held)) / (1 + maxClockDrift);
	}

	/** Looks up the controller. Acquires the lease if there is none and `mayAcquire` is set. */
	async findOrAcquire(mayAcquire: boolean): Promise<Result<ControllerSearchResult, StoreFailure>> {
		const sentMs = this.#opts.readNowMs();
		const read = await this.#opts.store.readTable(cellTable);
		if (read.isErr()) {
			return err(read.error);
		}

		const row = read.value.rows.find(({key}) => key === controllerKey);
		const record = decodeRow(row);
		if (record !== undefined && !this.#mayTakeOver(record, read.value)) {
			return ok({kind: 'other', address: record.address});
		}

		if (!mayAcquire) {
			return ok({kind: 'contested'});
		}

		return this.#acquire({snapshot: read.value, row, previousRecord: record}, sentMs);
	}

	/** Renews the lease and writes range maps with it. `earlierLeasesMs` is the remaining time of leases granted by earlier controllers. */
	async write(maps: readonly RangeMap[], earlierLeasesMs: number): Promise<Result<void, StoreFailure>> {
		const held = this.#held;
		if (held === undefined) {
			return ok(undefined);
		}

		const nowMs = this.#opts.readNowMs();
		const storeMs = this.#estimateMaxStoreTimeMs(held);
		const record: ControllerRecord = {
			...held.record,
			untilMs: storeMs + controllerTermMs,
			leasesEndMs: Math.max(held.record.leasesEndMs, storeMs + leaseHorizonMs),
			earlierLeasesEndMs: Math.min(held.record.earlierLeasesEndMs, storeMs + (Math.max(0, earlierLeasesMs) * (1 + maxClockDrift))),
		};
		const written = await this.#opts.store.commit({
			conditions: [
				{table: cellTable, key: controllerKey, version: held.rowVersion},
				...maps.map(({service}) => ({table: cellTable, key: getMapKey(service), version: held.mapVersions.get(getMapKey(service)) ?? 0})),
			],
			writes: [
				{table: cellTable, key: controllerKey, value: JSON.stringify(record)},
				...maps.map(map => ({table: cellTable, key: getMapKey(map.service), value: JSON.stringify(encodeRangeMap(map))})),
			],
		});
		if (written.isErr()) {
			return err(written.error);
		}

		if (this.#held === held) {
			const {version, nowMs: writtenMs} = written.value;
			const mapVersions = new Map([...held.mapVersions, ...maps.map(({service}) => [getMapKey(service), version] as const)]);
			this.#held = {
				record, rowVersion: version, mapVersions, maxStoreTimeMs: writtenMs, storeTimeSampledAtMs: nowMs, renewedMs: nowMs,
			};
		}

		return ok(undefined);
	}

	/** Reads the rows after a failed write, to determine whether the write took effect or another node acquired the lease. */
	async readBack(): Promise<Result<ReadBackResult, StoreFailure>> {
		const sentMs = this.#opts.readNowMs();
		const read = await this.#opts.store.readTable(cellTable);
		const held = this.#held;
		if (read.isErr() || held === undefined) {
			return read.isErr() ? err(read.error) : ok({kind: 'lost', epoch: 0});
		}

		const row = read.value.rows.find(({key}) => key === controllerKey);
		const record = decodeRow(row);
		if (row === undefined || record?.epoch !== held.record.epoch || record.incarnation !== held.record.incarnation) {
			this.#held = undefined;
			return ok({kind: 'lost', epoch: record?.epoch ?? 0});
		}

		const changed = read.value.rows.filter(({key, version}) => isMapKey(key) && held.mapVersions.get(key) !== version);
		this.#held = {
			...held,
			record,
			rowVersion: row.version,
			mapVersions: new Map([...held.mapVersions, ...changed.map(({key, version}) => [key, version] as const)]),
			maxStoreTimeMs: read.value.nowMs,
			storeTimeSampledAtMs: sentMs,
		};
		return ok({
			kind: 'held', written: decodeMaps(changed).maps, rowVersion: row.version, heldVersion: held.rowVersion,
		});
	}

	/** Releases the lease so that another node can take over immediately. `leaseMs` is the longest lease granted to a node; the caller grants none after this. */
	async release(leaseMs: number): Promise<Result<void, StoreFailure>> {
		for (let attempt = 1; ; attempt++) {
			const held = this.#held;
			if (held === undefined) {
				return ok(undefined);
			}

			const leasesEndMs = Math.max(held.record.earlierLeasesEndMs, this.#estimateMaxStoreTimeMs(held) + (leaseMs * (1 + maxClockDrift)));
			const written = await this.#opts.store.commit({
				conditions: [{table: cellTable, key: controllerKey, version: held.rowVersion}],
				writes: [{table: cellTable, key: controllerKey, value: JSON.stringify({...held.record, untilMs: 0, leasesEndMs} satisfies ControllerRecord)}],
			});
			const mayRetry = written.isErr() && written.error.kind === 'conflict' && attempt < maxReleaseAttempts;
			const readBack = mayRetry ? await this.readBack() : undefined;
			if (readBack?.isOk() !== true) {
				this.#held = undefined;
				return written.map(() => undefined);
			}
		}
	}

	/** Drops the lease without writing to the store. */
	close(): void {
		this.#held = undefined;
	}

	/** A lease can be acquired once its term has ended, or if its process has ended: a VM runs one node process at a time. */
	#mayTakeOver(record: ControllerRecord, {nowMs}: Snapshot): boolean {
		const {vmId, incarnation} = this.#opts.identity;
		return this.#held === undefined && (nowMs >= record.untilMs || (record.vmId === vmId && record.incarnation !== incarnation));
	}

	async #acquire({snapshot, row, previousRecord}: {
		readonly snapshot: Snapshot; readonly row: StoredRow | undefined; readonly previousRecord: ControllerRecord | undefined;
	}, sentMs: number): Promise<Result<ControllerSearchResult, StoreFailure>> {
		const record: ControllerRecord = {
			...this.#opts.identity,
			epoch: (previousRecord?.epoch ?? 0) + 1,
			untilMs: snapshot.nowMs + controllerTermMs,
			leasesEndMs: Math.max(snapshot.nowMs + leaseHorizonMs, previousRecord?.leasesEndMs ?? 0),
			earlierLeasesEndMs: previousRecord?.leasesEndMs ?? 0,
		};
		const written = await this.#opts.store.commit({
			conditions: [{table: cellTable, key: controllerKey, version: row?.version ?? 0}],
			writes: [{table: cellTable, key: controllerKey, value: JSON.stringify(record)}],
		});
		if (written.isErr()) {
			return written.error.kind === 'conflict' ? ok({kind: 'contested'}) : err(written.error);
		}

		// The previous controller may have written maps between the first read and the commit. From here on it can't.
		const read = await this.#opts.store.readTable(cellTable);
		if (read.isErr()) {
			return err(read.error);
		}

		const mapRows = read.value.rows.filter(({key, value}) => isMapKey(key) && value !== undefined);
		this.#held = {
			record,
			rowVersion: written.value.version,
			mapVersions: new Map(mapRows.map(({key, version}) => [key, version])),
			maxStoreTimeMs: written.value.nowMs,
			storeTimeSampledAtMs: sentMs,
			renewedMs: this.#opts.readNowMs(),
		};
		const measureRemainingMs = (endMs: number): number => Math.max(0, endMs - written.value.nowMs) * (1 + maxClockDrift);
		return ok({
			kind: 'taken', takeover: {
				record,
				previousRecord,
				earlierLeasesMs: measureRemainingMs(previousRecord?.leasesEndMs ?? 0),
				inheritedLeasesMs: measureRemainingMs(previousRecord?.earlierLeasesEndMs ?? 0),
				...decodeMaps(mapRows),
			},
		});
	}

	/** Estimates an upper bound of the store's current time. */
	#estimateMaxStoreTimeMs({maxStoreTimeMs, storeTimeSampledAtMs}: HeldRow): number {
		return maxStoreTimeMs + ((this.#opts.readNowMs() - storeTimeSampledAtMs) * (1 + maxClockDrift));
	}
}

function decodeRow(row: StoredRow | undefined): ControllerRecord | undefined {
	return row?.value === undefined ? undefined : decodeControllerRecord(row.value).unwrapOr(undefined);
}

function decodeMaps(rows: readonly StoredRow[]): {readonly maps: readonly RangeMap[]; readonly problems: readonly string[]} {
	const decoded = rows.map(({key, value}) => decodeRangeMap(value ?? '').mapErr(problem => `${key}: ${problem}`));
	return {
		maps: decoded.flatMap(result => result.isOk() ? [result.value] : []),
		problems: decoded.flatMap(result => result.isErr() ? [result.error] : []),
	};
}
