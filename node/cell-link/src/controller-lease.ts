import {createFailure, type StoreEra} from '@buckthornpoint/fleet/fleet-store.js';
import {deriveNumberInEra} from '@buckthornpoint/key-ranges/era-versions.js';
import type {ControllerQuorum} from '@buckthornpoint/key-ranges/controller-quorum.js';
import type {RangeMap} from '@buckthornpoint/key-ranges/range-map.js';
import type {StoreFailure} from '@buckthornpoint/table-store/table-store.js';
import {err, ok, type Result} from 'neverthrow';
import {
	createCellTransaction, decodeCell, decodeMaps, getVersions, maxRemovalsPerWrite, type CellSnapshot,
} from './cell-snapshot.js';
import type {
	ControllerLeaseOpts, ControllerSearchResult, HeldRow, ReadBackResult, Renewal,
} from './controller-lease-types.js';
import {
	cellTable, getMapKey, isSameController, type ControllerRecord,
} from './controller-record.js';
import {
	controllerTermMs, createTakeoverRecord, eraSettlingMs, leaseHorizonMs, maxClockDrift, maxReleaseAttempts,
} from './takeover-record.js';

/**
 * The lease on the controller role, kept as a row in the store. Range maps are written only in the same transaction as
 * this row, so that a node that lost the lease cannot write them.
 */
export class ControllerLease {
	readonly #opts: ControllerLeaseOpts;
	#held: HeldRow | undefined;
	/** List of members in a write that was not acknowledged: the row may have it or the acknowledged one. Each further write has the same list. */
	#unacknowledged: Pick<Renewal, 'quorum' | 'shareHolders'> | undefined;
	/** The latest era of a lookup, and when a lookup first showed it. */
	#lookupEra: {readonly era: StoreEra; readonly sinceMs: number} | undefined;

	constructor(opts: ControllerLeaseOpts) {
		this.#opts = opts;
	}

	/** The epoch of the held lease, or undefined if this node does not hold it. */
	get epoch(): number | undefined {
		return this.#held?.record.epoch;
	}

	/** The era of the last acknowledged write. */
	get era(): StoreEra {
		return this.#held?.era ?? 0;
	}

	/** Whether the store returned from an older copy since the last acknowledged write: the row that it names may be gone. */
	get isEraOver(): boolean {
		return this.#held !== undefined && this.#held.era !== this.#opts.store.era;
	}

	/** Measures the time since the last renewal that the store acknowledged. */
	measureRenewalAgeMs(): number {
		return this.#held === undefined ? Number.POSITIVE_INFINITY : this.#opts.readNowMs() - this.#held.renewedMs;
	}

	/** Measures the longest lease that can be granted to a node: it must end before the bound recorded in the store. */
	measureMaxLeaseMs(): number {
		return this.#held === undefined ? 0 : (this.#held.record.leasesEndMs - this.#estimateMaxStoreTimeMs(this.#held)) / (1 + maxClockDrift);
	}

	/** The lists of members of which the row may have any. */
	get quorums(): readonly ControllerQuorum[] {
		return [this.#held?.record.quorum, this.#unacknowledged?.quorum].filter(quorum => quorum !== undefined);
	}

	/** The lists of holders of shares of which the row may have any. */
	get shareHolders(): ReadonlyArray<readonly string[]> {
		return [this.#held?.record, this.#unacknowledged ?? this.#held?.record].map(list => list?.shareHolders ?? []);
	}

	/** Looks up the controller. Acquires the lease if there is none and `mayAcquire` is set. */
	async findOrAcquire(mayAcquire: boolean): Promise<Result<ControllerSearchResult, StoreFailure>> {
		const sentMs = this.#opts.readNowMs();
		const read = await this.#opts.store.readTable(cellTable);
		if (read.isErr()) {
			return err(read.error);
		}

		const cell = decodeCell(read.value, this.#opts.readWallMs());
		this.#opts.onLeaves(cell.leaves);
		const {record, era} = cell;
		if (!this.#mayTakeOver(cell)) {
			return ok(record?.era === era ? {kind: 'other', address: record.address} : {kind: 'contested'});
		}

		return mayAcquire ? this.#acquire(cell, sentMs) : ok({kind: 'contested'});
	}

	/** Renews the lease and writes range maps with it. */
	async write(renewal: Renewal): Promise<Result<void, StoreFailure>> {
		const held = this.#held;
		return held === undefined ? ok(undefined) : this.#commit(held, this.#createRecord(held, renewal), renewal.maps);
	}

	/**
	 * Goes on as the controller after the store returned from an older copy, with maps of the new era. The copy may name an earlier
	 * controller, since the rows of this one are lost; only a row that was written in the new era shows that another node took over.
	 */
	async renewInEra(createRenewal: (era: StoreEra) => Renewal): Promise<Result<ReadBackResult, StoreFailure>> {
		const sentMs = this.#opts.readNowMs();
		const read = await this.#opts.store.readTable(cellTable);
		const held = this.#held;
		if (read.isErr() || held === undefined) {
			return read.isErr() ? err(read.error) : ok({kind: 'lost', epoch: 0});
		}

		const cell = decodeCell(read.value, this.#opts.readWallMs());
		if (cell.record?.era === cell.era && !isSameController(cell.record, held.record)) {
			this.#held = undefined;
			return ok({kind: 'lost', epoch: cell.record.epoch});
		}

		const renewal = createRenewal(cell.era);
		const next: HeldRow = {
			...held, ...getVersions(cell), maxStoreTimeMs: cell.nowMs, storeTimeSampledAtMs: sentMs,
		};
		const record: ControllerRecord = {
			...this.#createRecord(next, renewal),
			leasesEndMs: cell.nowMs + leaseHorizonMs,
			earlierLeasesEndMs: cell.nowMs + (Math.max(0, renewal.earlierLeasesMs) * (1 + maxClockDrift)),
			lostEpoch: deriveNumberInEra(Math.max(held.record.epoch, held.record.lostEpoch), held.era, cell.era),
		};
		const written = await this.#commit(held, record, renewal.maps, next);
		return written.map(() => ({
			kind: 'held', written: renewal.maps, rowVersion: cell.row?.version ?? 0, heldVersion: held.rowVersion,
		}));
	}

	/** Reads the rows after a failed write, to determine whether the write took effect or another node acquired the lease. */
	async readBack(): Promise<Result<ReadBackResult, StoreFailure>> {
		const sentMs = this.#opts.readNowMs();
		const read = await this.#opts.store.readTable(cellTable);
		const held = this.#held;
		if (read.isErr() || held === undefined) {
			return read.isErr() ? err(read.error) : ok({kind: 'lost', epoch: 0});
		}

		const cell = decodeCell(read.value, this.#opts.readWallMs());
		if (cell.era !== held.era) {
			return err(createFailure('unavailable', 'the store returned from an older copy; its rows say nothing of the failed write'));
		}

		const {row, record} = cell;
		if (row === undefined || record === undefined || !isSameController(record, held.record)) {
			this.#held = undefined;
			return ok({kind: 'lost', epoch: record?.epoch ?? 0});
		}

		const changed = cell.mapRows.filter(({key, version}) => held.mapVersions.get(key) !== version);
		this.#held = {
			...held, ...getVersions(cell), record, maxStoreTimeMs: cell.nowMs, storeTimeSampledAtMs: sentMs,
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
			const written = await this.#opts.store.commit(createCellTransaction({...held.record, untilMs: 0, leasesEndMs}, [], held));
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

	/**
	 * A lease can be acquired once its term has ended, or if its process has ended: a VM runs one node process at a time. If the store
	 * returned from a copy, the row may be of any earlier controller, or missing, and the last controller has time to go on.
	 */
	#mayTakeOver({record, nowMs, era}: CellSnapshot): boolean {
		const {vmId, incarnation} = this.#opts.identity;
		if (this.#lookupEra?.era !== era) {
			this.#lookupEra = {era, sinceMs: this.#opts.readNowMs()};
		}

		if (this.#held !== undefined) {
			return false;
		}

		if (record?.era === era) {
			return nowMs >= record.untilMs || (record.vmId === vmId && record.incarnation !== incarnation);
		}

		const hadController = record !== undefined || this.#opts.getEpoch() > 0;
		return !hadController || this.#opts.readNowMs() - this.#lookupEra.sinceMs >= eraSettlingMs;
	}

	async #acquire(cell: CellSnapshot, sentMs: number): Promise<Result<ControllerSearchResult, StoreFailure>> {
		const {record: previousRecord, era} = cell;
		const isAfterReturn = era > 0 && (previousRecord?.mapsEra ?? 0) < era;
		const {record, inheritedLeasesEndMs, quorum} = createTakeoverRecord(cell, {identity: this.#opts.identity, knownEpoch: this.#opts.getEpoch(), isAfterReturn});
		const written = await this.#opts.store.commit(createCellTransaction(record, [], getVersions(cell)));
		if (written.isErr()) {
			return written.error.kind === 'conflict' ? ok({kind: 'contested'}) : err(written.error);
		}

		// The previous controller may have written maps between the first read and the commit. From here on it can't.
		const read = await this.#opts.store.readTable(cellTable);
		if (read.isErr()) {
			return err(read.error);
		}

		const current = decodeCell(read.value, this.#opts.readWallMs());
		if (written.value.era !== era || current.era !== era) {
			return ok({kind: 'contested'});
		}

		this.#unacknowledged = undefined;
		this.#held = {
			...getVersions(current),
			rowVersion: written.value.version,
			record,
			maxStoreTimeMs: written.value.nowMs,
			storeTimeSampledAtMs: sentMs,
			renewedMs: this.#opts.readNowMs(),
		};
		const measureRemainingMs = (endMs: number): number => Math.max(0, endMs - written.value.nowMs) * (1 + maxClockDrift);
		return ok({
			kind: 'taken', takeover: {
				record,
				previousRecord,
				isAfterReturn,
				earlierLeasesMs: measureRemainingMs(record.earlierLeasesEndMs),
				inheritedLeasesMs: measureRemainingMs(inheritedLeasesEndMs),
				quorum,
				leaves: current.leaves,
				...decodeMaps(current.mapRows),
			},
		});
	}

	#createRecord(held: HeldRow, {earlierLeasesMs, areMapsCurrent, quorum, shareHolders}: Renewal): ControllerRecord {
		this.#unacknowledged ??= {quorum, shareHolders};
		const storeMs = this.#estimateMaxStoreTimeMs(held);
		return {
			...held.record,
			untilMs: storeMs + controllerTermMs,
			leasesEndMs: Math.max(held.record.leasesEndMs, storeMs + leaseHorizonMs),
			earlierLeasesEndMs: Math.min(held.record.earlierLeasesEndMs, storeMs + (Math.max(0, earlierLeasesMs) * (1 + maxClockDrift))),
			era: held.era,
			mapsEra: areMapsCurrent ? held.era : held.record.mapsEra,
			quorum: this.#unacknowledged.quorum,
			shareHolders: this.#unacknowledged.shareHolders,
		};
	}

	/** Writes on the strength of the versions `base`. An acknowledgement of another era is none: what it names may be lost. */
	async #commit(held: HeldRow, record: ControllerRecord, maps: readonly RangeMap[], base = held): Promise<Result<void, StoreFailure>> {
		const nowMs = this.#opts.readNowMs();
		const written = await this.#opts.store.commit(createCellTransaction(record, maps, base));
		if (written.isErr()) {
			return err(written.error);
		}

		const {version, nowMs: writtenMs, era} = written.value;
		if (era !== base.era) {
			return err(createFailure('outcome-unknown', 'the store returned from an older copy while the controller wrote'));
		}

		if (this.#held === held) {
			this.#unacknowledged = undefined;
			this.#held = {
				record,
				era,
				rowVersion: version,
				eraRowVersion: base.eraRowVersion === 0 ? version : base.eraRowVersion,
				obsoleteRows: base.obsoleteRows.slice(maxRemovalsPerWrite),
				mapVersions: new Map([...base.mapVersions, ...maps.map(({service}) => [getMapKey(service), version] as const)]),
				maxStoreTimeMs: writtenMs,
				storeTimeSampledAtMs: nowMs,
				renewedMs: nowMs,
			};
		}

		return ok(undefined);
	}

	/** Estimates an upper bound of the store's current time. */
	#estimateMaxStoreTimeMs({maxStoreTimeMs, storeTimeSampledAtMs}: HeldRow): number {
		return maxStoreTimeMs + ((this.#opts.readNowMs() - storeTimeSampledAtMs) * (1 + maxClockDrift));
	}
}
