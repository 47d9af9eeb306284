import {Assignments} from './assignments.js';
import type {
	BackendView, PlannedMove, ServiceView, VmState,
} from './controller-state.js';
import type {ControllerStart, RangeControllerOpts} from './controller-start.js';
import {EraRecovery} from './era-recovery.js';
import {
	hasOverlap, type BackendInstanceKey, type GrantedRange,
} from './key-ranges.js';
import {classifyBackend, type OwnershipRules} from './classify-backend.js';
import {LeaseTable} from './lease-table.js';
import {MapUpdates} from './map-updates.js';
import {
	createReplyWithoutLease, type BackendReport, type HeartbeatReply, type MemberHeartbeat,
} from './messages.js';
import {MovesInProgress, listCompleteMoves} from './moves-in-progress.js';
import {assignFirstShares, assignUnownedRanges, planMoves} from './plan-moves.js';
import {RangeIndex} from './range-index.js';
import {
	applyOwnerChanges, createRangeMap, listEarlierOwners, type OwnerChange, type RangeMap,
} from './range-map.js';
import {VmTable} from './vm-table.js';

/**
 * Decides from heartbeats alone which backend server owns which ranges. It performs no I/O: it plans maps; the caller
 * writes them to the store on condition that no other controller has taken over, then calls `recordWrittenMap`.
 * Times are milliseconds of a clock that never runs faster than real time.
 */
export class RangeController {
	readonly epoch: number;
	readonly #opts: RangeControllerOpts;
	readonly #vms: VmTable;
	readonly #maps = new Map<string, RangeMap>();
	readonly #leases: LeaseTable;
	readonly #firstHeartbeatMs = new Map<string, number>();
	readonly #mapUpdates = new MapUpdates();
	readonly #assignments: Assignments;
	readonly #startMs: number;
	readonly #unreadableServices: ReadonlySet<string>;
	#era: number;
	#recovery: EraRecovery | undefined;
	readonly #moves = new MovesInProgress();

	constructor(start: ControllerStart, opts: RangeControllerOpts) {
		this.epoch = start.epoch;
		this.#assignments = new Assignments(start.epoch);
		this.#opts = opts;
		this.#vms = new VmTable(start);
		this.#leases = new LeaseTable(start, opts.leaseMs);
		this.#startMs = start.startMs;
		this.#unreadableServices = start.unreadableServices ?? new Set();
		this.#era = start.era ?? 0;
		this.#recovery = start.recovery === undefined ? undefined : new EraRecovery({...start.recovery, startMs: start.startMs, era: this.#era}, start.maps);
		for (const map of start.maps) {
			this.#maps.set(map.service, map);
		}
	}

	/** The latest time at which a lease granted by an earlier controller ends. */
	get earlierLeasesEndMs(): number {
		return this.#leases.earlierLeasesEndMs;
	}

	/** Returns whether the maps name everybody who may hold a range; not so for a time after the store returned from an older copy. */
	hasCurrentMaps(nowMs: number): boolean {
		return this.#recovery === undefined && !this.#leases.mayHaveUnknownLeases(nowMs);
	}

	get maps(): readonly RangeMap[] {
		return [...this.#maps.values()];
	}

	/** Processes a heartbeat and returns the reply. `maxLeaseMs` is the longest lease that the controller's own lease in the store allows. */
	handleHeartbeat(heartbeat: MemberHeartbeat, nowMs: number, maxLeaseMs: number): HeartbeatReply {
		if (this.#vms.isOutdated(heartbeat)) {
			return createReplyWithoutLease(this.epoch);
		}

		if (heartbeat.epoch === this.epoch) {
			this.#leases.recordFollower(heartbeat, nowMs);
		}

		const {backend} = heartbeat;
		for (const key of [...this.#vms.recordHeartbeat(heartbeat, nowMs), ...backend === undefined ? [] : listEarlierOwners(this.maps, heartbeat.vmId, backend.key)]) {
			this.#vms.recordEnded(key);
			this.#leases.remove(key);
		}

		const mustReportHeld = this.#recovery?.recordHeartbeat(heartbeat, this.epoch) === false;
		if (mustReportHeld || this.#recovery?.mayGrant(nowMs) === false) {
			return {...createReplyWithoutLease(this.epoch), mustReportHeld, ...this.#vms.createDirectoryReply(heartbeat.directoryVersion, nowMs - this.#startMs >= this.#opts.startGatheringMs)};
		}

		const hasLease = backend !== undefined && !this.#vms.isEnded(backend.key);
		const leaseMs = hasLease ? Math.max(0, Math.min(this.#opts.leaseMs, maxLeaseMs)) : 0;
		if (hasLease) {
			this.#recordBackend(heartbeat, backend, {nowMs, leaseEndMs: nowMs + leaseMs});
		}

		const assignmentVersion = backend === undefined ? '' : this.#assignments.getVersion(backend.key);
		const left = this.#vms.listLeaving(heartbeat.vmId);
		return {
			epoch: this.epoch,
			leaseMs,
			assignmentVersion,
			...(backend !== undefined && backend.assignmentVersion !== assignmentVersion && {assignment: this.#listAssignment(backend)}),
			...this.#vms.createDirectoryReply(heartbeat.directoryVersion, nowMs - this.#startMs >= this.#opts.startGatheringMs),
			...this.#mapUpdates.createUpdates([...this.#maps.values()], heartbeat.mapVersions),
			...(left.length > 0 && {left}),
			isStoreReached: true,
		};
	}

	/** Starts moves of ranges that their owners still hold, and returns these moves. The caller must notify the owners. */
	planMoves(rules: OwnershipRules, nowMs: number): readonly PlannedMove[] {
		if (this.#recovery?.mayGrant(nowMs) === false) {
			return [];
		}

		this.#expireMoves(rules, nowMs);
		this.#moves.recordTime(nowMs);
		const planned = [...this.#maps.values()].flatMap(map => planMoves(this.#createView(map, rules, nowMs), nowMs));
		this.#assignments.update(planned.map(({owner}) => owner));

		this.#moves.add(planned);
		return planned;
	}

	/** Returns the maps to write next: first maps of services, and maps in which free or released ranges have new owners. */
	planMaps(rules: OwnershipRules, nowMs: number): readonly RangeMap[] {
		this.#expireRecovery(nowMs);
		if (this.#recovery?.mayGrant(nowMs) === false) {
			return this.#recovery.planMaps(this.maps, nowMs);
		}

		return [...rules.partitionedServices].flatMap(service => {
			const map = this.#maps.get(service);
			return map === undefined ? this.#planFirstMap(service, rules, nowMs) : this.#planNextMap(map, rules, nowMs);
		});
	}

	/** Applies a map that was written to the store. Returns the owners of the changed ranges. */
	recordWrittenMap(map: RangeMap): readonly BackendInstanceKey[] {
		const earlier = this.#maps.get(map.service);
		this.#maps.set(map.service, map);
		this.#assignments.grantWithheld(map);
		this.#recovery?.recordWritten(map.service);
		if (this.#recovery?.mustSendInFull(map.service) === true) {
			this.#mapUpdates.setFullBelow(map);
		}

		const changed = map.segments.filter(({fence}) => fence === map.version);
		const owners = new Set(changed.flatMap(({owner}) => owner === undefined ? [] : [owner]));
		for (const owner of earlier?.vmIdByOwner.keys() ?? []) {
			if (!map.vmIdByOwner.has(owner)) {
				this.#leases.remove(owner);
			}
		}

		const changedRanges = new RangeIndex(changed);
		this.#moves.remove(this.#moves.list(map.service).filter(move => changedRanges.hasOverlap(move)));
		const formerOwners = (earlier?.segments ?? []).filter(segment => segment.owner !== undefined && !owners.has(segment.owner) && changedRanges.hasOverlap(segment));
		this.#assignments.update(new Set([...owners, ...formerOwners.flatMap(segment => segment.owner ?? [])]));

		return this.#recovery?.isRebuilt(map.service) === true ? [...map.vmIdByOwner.keys()] : [...owners];
	}

	/** Returns the VM of a backend server instance, if a heartbeat reported it. */
	findVm(key: BackendInstanceKey): VmState | undefined {
		return this.#vms.findByBackend(key);
	}

	/** Removes VMs without recent heartbeats and returns their ids. */
	removeSilent(nowMs: number): readonly string[] {
		return this.#vms.removeSilent(nowMs, this.#opts.vmRetentionMs);
	}

	/** Goes on in a later era of the store, into which the caller wrote the maps `maps`. Writes of before can no longer take effect. */
	startEra(era: number, maps: readonly RangeMap[]): void {
		this.#era = era;
		this.#recovery?.startEra(era);
		for (const map of maps) {
			this.#maps.set(map.service, map);
			this.#assignments.grantWithheld(map);
		}
	}

	/** Records that a controller of which this one does not know may have granted leases until `endMs`. */
	recordUnknownController(endMs: number): void {
		this.#leases.recordUnknownController(endMs, [...this.#vms.listVmIds(), ...this.maps.flatMap(({vmIdByOwner}) => [...vmIdByOwner.values()])]);
	}

	/** Grants the ranges that nobody reported once no lease of an earlier controller can be in force. */
	#expireRecovery(nowMs: number): void {
		const recovery = this.#recovery;
		if (recovery?.mayGrant(nowMs) === true && (nowMs >= this.earlierLeasesEndMs || !recovery.hasEarlierLife)) {
			this.#recovery = undefined;
			if (!recovery.hasEarlierLife) {
				this.#leases.recordNoEarlierLeases();
			}

			this.#assignments.update(this.maps.flatMap(({vmIdByOwner}) => [...vmIdByOwner.keys()]));
		}
	}

	#recordBackend(heartbeat: MemberHeartbeat, backend: BackendReport, {nowMs, leaseEndMs}: {readonly nowMs: number; readonly leaseEndMs: number}): void {
		this.#leases.record(backend.key, leaseEndMs, heartbeat.epoch === this.epoch);
		this.#assignments.recordReleased(backend);
		if (!this.#firstHeartbeatMs.has(backend.service)) {
			this.#firstHeartbeatMs.set(backend.service, nowMs);
		}
	}

	#planFirstMap(service: string, rules: OwnershipRules, nowMs: number): readonly RangeMap[] {
		const firstHeartbeatMs = this.#firstHeartbeatMs.get(service);
		if (firstHeartbeatMs === undefined || this.#unreadableServices.has(service) || nowMs < firstHeartbeatMs + this.#opts.startGatheringMs) {
			return [];
		}

		const owners = this.#listBackends(service, rules, nowMs).filter(({isEligible}) => isEligible);
		if (owners.length === 0) {
			return [];
		}

		const map = assignFirstShares(this.#createView(createRangeMap(service, owners, this.#era), rules, nowMs));
		return [this.#recovery?.buildMap(map) ?? map];
	}

	#planNextMap(map: RangeMap, rules: OwnershipRules, nowMs: number): readonly RangeMap[] {
		const hasUnknownLeases = this.#leases.mayHaveUnknownLeases(nowMs);
		const view = this.#createView(map, rules, nowMs);
		const expiredOwners = new Set([...map.vmIdByOwner.keys()].filter(owner => this.#vms.isEnded(owner) || this.#leases.hasEnded(owner, nowMs)));
		const unowned = map.segments.filter(segment => (segment.owner === undefined || expiredOwners.has(segment.owner) || this.#assignments.isWithheld(map.service, segment))
			&& !hasUnknownLeases && this.#recovery?.isUnconfirmed(map.service, segment) !== true);
		const moved = listCompleteMoves(view, move => this.#isReleased(move) && !(hasUnknownLeases && this.#vms.isEnded(move.owner)));
		const eligible = new Map(view.backends.filter(({isEligible}) => isEligible).map(({key, vmId}) => [key, vmId]));
		const changes: readonly OwnerChange[] = [
			...assignUnownedRanges(view, unowned),
			...moved.flatMap(({from, to, target}) => {
				const vmId = eligible.get(target);
				return vmId === undefined
					? assignUnownedRanges(view, [{
						from, to, owner: undefined, fence: 0,
					}])
					: [{
						from, to, owner: target, vmId,
					}];
			}),
		];
		if (changes.length === 0) {
			return [];
		}

		this.#assignments.setWithheld(map.service, unowned);
		return [applyOwnerChanges(map, changes)];
	}

	#isReleased(move: PlannedMove): boolean {
		if (this.#vms.isEnded(move.owner)) {
			return true;
		}

		const backend = this.findVm(move.owner)?.backend;
		return backend?.assignmentVersion === this.#assignments.getVersion(move.owner)
			&& !backend.stillHeld.some(range => hasOverlap(range, move));
	}

	/** Cancels moves whose owner did not release the range in time; the owner keeps the range. */
	#expireMoves(rules: OwnershipRules, nowMs: number): void {
		const overdue = this.#moves.listStartedBefore(nowMs - this.#opts.leaseMs).filter(move => !this.#mustDrain(move.owner, rules, nowMs) && !this.#isReleased(move));
		this.#assignments.update(overdue.map(({owner}) => owner));
		this.#moves.remove(overdue);
	}

	#mustDrain(owner: BackendInstanceKey, rules: OwnershipRules, nowMs: number): boolean {
		const vm = this.findVm(owner);
		return vm !== undefined && classifyBackend(vm, rules, {...this.#opts, nowMs})?.mustDrain === true;
	}

	#createView(map: RangeMap, rules: OwnershipRules, nowMs: number): ServiceView {
		return {
			map,
			backends: this.#listBackends(map.service, rules, nowMs),
			moves: this.#moves.list(map.service),
			lastMoveMs: this.#moves.getLastMs(map.service),
			balance: this.#opts.balance,
		};
	}

	#listBackends(service: string, rules: OwnershipRules, nowMs: number): readonly BackendView[] {
		return this.#vms.listByService(service).flatMap(vm => classifyBackend(vm, rules, {...this.#opts, nowMs}) ?? []);
	}

	#listAssignment(backend: BackendReport): readonly GrantedRange[] {
		return this.#assignments.list(backend, this.#maps.get(backend.service), {
			moves: this.#moves.list(backend.service).filter(({owner}) => owner === backend.key),
			isExcluded: segment => this.#recovery?.isUnconfirmed(backend.service, segment) === true,
		});
	}
}
