import {AssignmentVersions} from './assignment-versions.js';
import type {
	BackendView, PlannedMove, ServiceView, VmState,
} from './controller-state.js';
import type {DirectorySnapshot} from './directory-log.js';
import {HandoverTable} from './handover-table.js';
import {
	hasOverlap, isLaterInstance, removeOverlaps, type BackendInstanceKey, type GrantedRange,
} from './key-ranges.js';
import {classifyBackend, type OwnershipRules, type SilenceTimeouts} from './classify-backend.js';
import {LeaseTable, type EarlierLeases} from './lease-table.js';
import type {LeavingInstances} from './leaving-instances.js';
import {MapUpdates} from './map-updates.js';
import type {BackendReport, HeartbeatReply, MemberHeartbeat} from './messages.js';
import {assignUnownedRanges, planMoves} from './plan-moves.js';
import {RangeIndex} from './range-index.js';
import {
	applyOwnerChanges, createRangeMap, type OwnerChange, type RangeMap, type Segment,
} from './range-map.js';
import {VmTable} from './vm-table.js';

/** Times of a controller, in milliseconds. */
export type RangeControllerOpts = SilenceTimeouts & {
	/** Duration of the lease that a heartbeat reply grants. */
	readonly leaseMs: number;
	/** Time from the first heartbeat with a backend server of a service to the first map of the service, so that servers that start at about the same time all receive ranges. */
	readonly startGatheringMs: number;
	/** How long VMs without heartbeats stay in the directory. */
	readonly vmRetentionMs: number;
};

/** State that a controller's node received from the previous controller. */
export type InheritedState = {
	readonly leavingInstances?: LeavingInstances;
	readonly directory?: DirectorySnapshot | undefined;
};

/** Initial state of a controller, inherited from its predecessors. */
export type ControllerStart = EarlierLeases & InheritedState & {
	readonly epoch: number;
	readonly maps: readonly RangeMap[];
	/** Time of the takeover on this controller's clock. */
	readonly startMs: number;
};

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
	readonly #handovers = new HandoverTable();
	readonly #firstHeartbeatMs = new Map<string, number>();
	/** Ranges that a planned map assigns to a new owner. They are not granted to the old owner again, since a write of that map whose reply was lost may still take effect. */
	readonly #withheld = new Map<string, RangeIndex>();
	readonly #mapUpdates = new MapUpdates();
	readonly #assignments: AssignmentVersions;
	readonly #startMs: number;
	#moves: readonly PlannedMove[] = [];
	/** For each service, when a move of its ranges was last in progress. */
	readonly #lastMoveMs = new Map<string, number>();

	constructor(start: ControllerStart, opts: RangeControllerOpts) {
		this.epoch = start.epoch;
		this.#assignments = new AssignmentVersions(start.epoch);
		this.#opts = opts;
		this.#vms = new VmTable(start);
		this.#leases = new LeaseTable(start, opts.leaseMs);
		this.#startMs = start.startMs;
		for (const map of start.maps) {
			this.#maps.set(map.service, map);
		}
	}

	/** The latest time at which a lease granted by an earlier controller ends. */
	get earlierLeasesEndMs(): number {
		return this.#leases.earlierLeasesEndMs;
	}

	/** Processes a heartbeat and returns the reply. `maxLeaseMs` is the longest lease that the controller's own lease in the store allows. */
	handleHeartbeat(heartbeat: MemberHeartbeat, nowMs: number, maxLeaseMs: number): HeartbeatReply {
		if (this.#vms.isOutdated(heartbeat)) {
			return {
				epoch: this.epoch, leaseMs: 0, assignmentVersion: '', directoryVersion: '', isDirectoryComplete: false, isStoreReached: true,
			};
		}

		if (heartbeat.epoch === this.epoch) {
			this.#leases.recordFollower(heartbeat.vmId, nowMs);
		}

		const {backend} = heartbeat;
		for (const key of [...this.#vms.recordHeartbeat(heartbeat, nowMs), ...this.#listEarlierInstances(heartbeat)]) {
			this.#vms.recordEnded(key);
			this.#leases.remove(key);
		}

		const hasLease = backend !== undefined && !this.#vms.isEnded(backend.key);
		const leaseMs = hasLease ? Math.max(0, Math.min(this.#opts.leaseMs, maxLeaseMs)) : 0;
		if (hasLease) {
			this.#recordBackend(heartbeat, backend, {nowMs, leaseEndMs: nowMs + leaseMs});
		}

		const assignmentVersion = backend === undefined ? '' : this.#assignments.get(backend.key);
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
		this.#expireMoves(rules, nowMs);
		for (const {service} of this.#moves) {
			this.#lastMoveMs.set(service, nowMs);
		}

		const planned = [...this.#maps.values()].flatMap(map => planMoves(this.#createView(map, rules, nowMs), nowMs));
		for (const {owner} of planned) {
			this.#assignments.update(owner);
		}

		this.#moves = [...this.#moves, ...planned];
		return planned;
	}

	/** Returns the maps to write next: first maps of services, and maps in which free or released ranges have new owners. */
	planMaps(rules: OwnershipRules, nowMs: number): readonly RangeMap[] {
		return [...rules.partitionedServices].flatMap(service => {
			const map = this.#maps.get(service);
			return map === undefined ? this.#planFirstMap(service, rules, nowMs) : this.#planNextMap(map, rules, nowMs);
		});
	}

	/** Applies a map that was written to the store. Returns the owners of the changed ranges. */
	recordWrittenMap(map: RangeMap): readonly BackendInstanceKey[] {
		const earlier = this.#maps.get(map.service);
		this.#maps.set(map.service, map);
		this.#withheld.delete(map.service);
		const changed = map.segments.filter(({fence}) => fence === map.version);
		const owners = new Set(changed.flatMap(({owner}) => owner === undefined ? [] : [owner]));
		for (const owner of earlier?.vmIdByOwner.keys() ?? []) {
			if (!map.vmIdByOwner.has(owner)) {
				this.#leases.remove(owner);
			}
		}

		const changedRanges = new RangeIndex(changed);
		this.#moves = this.#moves.filter(move => move.service !== map.service || !changedRanges.hasOverlap(move));
		const formerOwners = (earlier?.segments ?? []).filter(segment => segment.owner !== undefined && !owners.has(segment.owner) && changedRanges.hasOverlap(segment));
		for (const owner of new Set([...owners, ...formerOwners.flatMap(segment => segment.owner ?? [])])) {
			this.#assignments.update(owner);
		}

		return [...owners];
	}

	/** Returns the VM of a backend server instance, if a heartbeat reported it. */
	findVm(key: BackendInstanceKey): VmState | undefined {
		return this.#vms.findByBackend(key);
	}

	/** Removes VMs without recent heartbeats and returns their ids. */
	removeSilent(nowMs: number): readonly string[] {
		return this.#vms.removeSilent(nowMs, this.#opts.vmRetentionMs);
	}

	/** A later instance on the VM of an owner proves that the owner has ended, even if this controller never received a heartbeat of that owner. */
	#listEarlierInstances({vmId, backend}: MemberHeartbeat): readonly BackendInstanceKey[] {
		return backend === undefined
			? []
			: [...this.#maps.values()].flatMap(({vmIdByOwner}) => [...vmIdByOwner].filter(([owner, ownerVm]) => ownerVm === vmId && isLaterInstance(backend.key, owner)).map(([owner]) => owner));
	}

	#recordBackend(heartbeat: MemberHeartbeat, backend: BackendReport, {nowMs, leaseEndMs}: {readonly nowMs: number; readonly leaseEndMs: number}): void {
		this.#leases.record(backend.key, leaseEndMs, heartbeat.epoch === this.epoch);
		this.#handovers.record(backend.service, backend.released);
		if (!this.#firstHeartbeatMs.has(backend.service)) {
			this.#firstHeartbeatMs.set(backend.service, nowMs);
		}
	}

	#planFirstMap(service: string, rules: OwnershipRules, nowMs: number): readonly RangeMap[] {
		const firstHeartbeatMs = this.#firstHeartbeatMs.get(service);
		if (firstHeartbeatMs === undefined || nowMs < firstHeartbeatMs + this.#opts.startGatheringMs) {
			return [];
		}

		const owners = this.#listBackends(service, rules, nowMs).filter(({isEligible}) => isEligible);
		return owners.length === 0 ? [] : [createRangeMap(service, owners)];
	}

	#planNextMap(map: RangeMap, rules: OwnershipRules, nowMs: number): readonly RangeMap[] {
		const view = this.#createView(map, rules, nowMs);
		const withheld = this.#withheld.get(map.service);
		const expiredOwners = new Set([...map.vmIdByOwner.keys()].filter(owner => this.#isExpiredOwner(owner, nowMs)));
		const unowned = map.segments.filter(segment => segment.owner === undefined || expiredOwners.has(segment.owner) || withheld?.hasOverlap(segment) === true);
		const moved = this.#moves.filter(move => move.service === map.service && this.#isReleased(move));
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

		this.#setWithheld(map, unowned);
		return [applyOwnerChanges(map, changes)];
	}

	#setWithheld(map: RangeMap, unowned: readonly Segment[]): void {
		this.#withheld.set(map.service, new RangeIndex(unowned));
		for (const owner of new Set(unowned.flatMap(segment => segment.owner ?? []))) {
			this.#assignments.update(owner);
		}
	}

	/** Returns whether an owner can no longer hold any range: it is known to have ended, or every lease it may have has ended. */
	#isExpiredOwner(owner: BackendInstanceKey, nowMs: number): boolean {
		return this.#vms.isEnded(owner) || this.#leases.hasEnded(owner, nowMs);
	}

	#isReleased(move: PlannedMove): boolean {
		if (this.#vms.isEnded(move.owner)) {
			return true;
		}

		const backend = this.findVm(move.owner)?.backend;
		return backend?.assignmentVersion === this.#assignments.get(move.owner)
			&& !backend.stillHeld.some(range => hasOverlap(range, move));
	}

	/** Cancels moves whose owner did not release the range in time; the owner keeps the range. */
	#expireMoves(rules: OwnershipRules, nowMs: number): void {
		const overdue = this.#moves.filter(move => nowMs - move.startedMs > this.#opts.leaseMs
			&& !this.#mustDrain(move.owner, rules, nowMs) && !this.#isReleased(move));
		for (const {owner} of overdue) {
			this.#assignments.update(owner);
		}

		this.#moves = this.#moves.filter(move => !overdue.includes(move));
	}

	#mustDrain(owner: BackendInstanceKey, rules: OwnershipRules, nowMs: number): boolean {
		const vm = this.findVm(owner);
		return vm !== undefined && classifyBackend(vm, rules, {...this.#opts, nowMs})?.mustDrain === true;
	}

	#createView(map: RangeMap, rules: OwnershipRules, nowMs: number): ServiceView {
		return {
			map,
			backends: this.#listBackends(map.service, rules, nowMs),
			moves: this.#moves.filter(({service}) => service === map.service),
			lastMoveMs: this.#lastMoveMs.get(map.service) ?? Number.NEGATIVE_INFINITY,
		};
	}

	#listBackends(service: string, rules: OwnershipRules, nowMs: number): readonly BackendView[] {
		return this.#vms.listByService(service).flatMap(vm => classifyBackend(vm, rules, {...this.#opts, nowMs}) ?? []);
	}

	/** Lists the ranges that an owner may be granted: its ranges in the map, except those that it must release and those that a planned map assigns to another owner. */
	#listAssignment({key, service}: BackendReport): readonly GrantedRange[] {
		const withheld = this.#withheld.get(service);
		const moves = this.#moves.filter(({owner}) => owner === key);
		const segments = this.#maps.get(service)?.segments ?? [];
		return segments
			.filter(segment => segment.owner === key && withheld?.hasOverlap(segment) !== true)
			.flatMap(segment => removeOverlaps([segment], moves).map(range => ({...range, fence: segment.fence})))
			.map(({from, to, fence}) => {
				const handover = this.#handovers.findHandover(service, {from, to});
				return {
					from, to, fence, ...(handover !== undefined && {handover}),
				};
			});
	}
}
