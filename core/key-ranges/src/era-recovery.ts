import {removeOverlaps, type BackendInstanceKey, type KeyRange} from './key-ranges.js';
import type {BackendReport, MemberHeartbeat} from './messages.js';
import {RangeIndex} from './range-index.js';
import {updateEra, type RangeMap} from './range-map.js';
import {buildConfirmedMap, type HeldReport} from './confirmed-map.js';

/** What a controller knows that takes over after the store returned from an older copy. */
export type EraRecoveryStart = {
	readonly startMs: number;
	/** The VMs known from the copy and from this node's directory. */
	readonly knownVms: ReadonlySet<string>;
	/** The present era of the store. */
	readonly era: number;
};

/** Time in which nodes report what their servers hold. It ends early if all known nodes have reported. Leases that run last longer. */
const gatheringMs = 1500;

/** Shortest time for the reports: nodes that the controller does not know may follow it too. */
const minGatheringMs = 300;

/**
 * Recovers the ownership of ranges after the store returned from an older copy, for a controller that was not the controller
 * before: its maps may be older than what their owners hold. Living holders are confirmed by their own reports. A range that nobody
 * reports may be held by a server that is silent, so it is granted to nobody until the leases of all earlier controllers have ended.
 */
export class EraRecovery {
	readonly #start: EraRecoveryStart;
	readonly #reports = new Map<BackendInstanceKey, HeldReport & {readonly service: string}>();
	readonly #reportedVms = new Set<string>();
	readonly #rebuilt = new Map<string, RangeMap>();
	/** Services whose rebuilt map has yet to be written. */
	readonly #unwritten: Set<string>;
	readonly #unconfirmed = new Map<string, RangeIndex>();
	readonly #unconfirmedRanges = new Map<string, readonly KeyRange[]>();
	/** Services whose rebuilt map must be sent in full. */
	readonly #changedServices = new Set<string>();
	#era: number;
	#hasEarlierLife: boolean;
	#isGathered = false;

	constructor(start: EraRecoveryStart, maps: readonly RangeMap[]) {
		this.#start = start;
		this.#era = start.era;
		this.#hasEarlierLife = maps.length > 0;
		this.#unwritten = new Set(maps.map(({service}) => service));
	}

	/** Whether anything shows that the fleet gave out ranges before; otherwise there is nothing to wait for. */
	get hasEarlierLife(): boolean {
		return this.#hasEarlierLife;
	}

	/** Records a heartbeat. Returns whether its node has reported what its server holds; until then it is asked to, and gets no lease. */
	recordHeartbeat({vmId, epoch, backend}: MemberHeartbeat, ownEpoch: number): boolean {
		this.#hasEarlierLife ||= epoch > 0 && epoch < ownEpoch;
		if (backend === undefined || (backend.held === undefined && !this.#reports.has(backend.key))) {
			return backend === undefined;
		}

		this.#reportedVms.add(vmId);
		if (backend.held !== undefined && !this.#reports.has(backend.key)) {
			this.#recordReport(vmId, backend);
		}

		return true;
	}

	/** Returns whether reports are still awaited. */
	isGathering(nowMs: number): boolean {
		const passedMs = nowMs - this.#start.startMs;
		const isComplete = passedMs >= minGatheringMs && [...this.#start.knownVms].every(vmId => this.#reportedVms.has(vmId));
		this.#isGathered ||= passedMs >= gatheringMs || isComplete;
		return !this.#isGathered;
	}

	/** Returns whether owners may be granted their ranges: the reports are complete, and the maps that follow from them are written. */
	mayGrant(nowMs: number): boolean {
		return !this.isGathering(nowMs) && this.#unwritten.size === 0;
	}

	/** Returns the rebuilt maps that have yet to be written. */
	planMaps(maps: readonly RangeMap[], nowMs: number): readonly RangeMap[] {
		return this.isGathering(nowMs) ? [] : maps.filter(({service}) => this.#unwritten.has(service)).map(map => this.buildMap(map));
	}

	/** Rebuilds a map from the reports, once. */
	buildMap(map: RangeMap): RangeMap {
		const known = this.#rebuilt.get(map.service);
		if (known !== undefined) {
			return known;
		}

		const era = this.#era;
		const reports = [...this.#reports.values()].filter(({service}) => service === map.service);
		const fences = reports.flatMap(({held}) => held.map(({fence}) => fence));
		const version = Math.max(updateEra(map, era).version, ...fences) + 1;
		const {map: rebuilt, unconfirmed, hasNewOwners} = buildConfirmedMap(map, reports, {version, era});
		this.#rebuilt.set(map.service, rebuilt);
		this.#setUnconfirmed(map.service, this.#hasEarlierLife ? unconfirmed : []);
		if (hasNewOwners) {
			this.#changedServices.add(map.service);
		}

		return rebuilt;
	}

	/** Goes on in a later era. Maps that are not written yet are rebuilt with versions of that era. */
	startEra(era: number): void {
		this.#era = era;
		for (const service of this.#unwritten) {
			this.#rebuilt.delete(service);
		}
	}

	recordWritten(service: string): void {
		this.#unwritten.delete(service);
	}

	isRebuilt(service: string): boolean {
		return this.#rebuilt.has(service);
	}

	/** Returns whether the rebuilt map can't be sent as changes: other servers than the known owners hold some ranges. */
	mustSendInFull(service: string): boolean {
		return this.#changedServices.has(service);
	}

	/** Returns whether nobody may be granted a part of the range yet. */
	isUnconfirmed(service: string, range: KeyRange): boolean {
		return this.#unconfirmed.get(service)?.hasOverlap(range) === true;
	}

	/** A report that arrives after the map was rebuilt confirms the ranges that its server holds and owns. */
	#recordReport(vmId: string, backend: BackendReport): void {
		const {key, service, held = []} = backend;
		this.#hasEarlierLife ||= held.length > 0;
		this.#reports.set(key, {
			owner: key, vmId, service, held,
		});
		const owned = (this.#rebuilt.get(service)?.segments ?? []).filter(({owner}) => owner === key);
		const unowned = removeOverlaps(held, owned);
		this.#setUnconfirmed(service, removeOverlaps(this.#unconfirmedRanges.get(service) ?? [], removeOverlaps(held, unowned)));
	}

	#setUnconfirmed(service: string, ranges: readonly KeyRange[]): void {
		this.#unconfirmedRanges.set(service, ranges);
		this.#unconfirmed.set(service, new RangeIndex(ranges));
	}
}
