import {maxClockDrift} from './clock-drift.js';
import type {ControllerQuorum} from './controller-quorum.js';
import {FollowerQuorum} from './follower-quorum.js';
import type {BackendInstanceKey} from './key-ranges.js';
import type {MemberHeartbeat} from './messages.js';

/** Leases that earlier controllers may have granted; times are on this controller's clock. */
export type EarlierLeases = {
	/** The latest time at which a lease granted by an earlier controller ends. */
	readonly earlierLeasesEndMs: number;
	/** The VMs on which an earlier controller may still run, with the latest end of the leases granted by controllers that ran elsewhere. */
	readonly predecessors?: {readonly vmIds: ReadonlySet<string>; readonly inheritedLeasesEndMs: number};
	/** The members that bind the previous controller's leases, if its row states them. */
	readonly quorum?: ControllerQuorum | undefined;
};

type Lease = {
	readonly endMs: number;
	/** Whether an earlier controller may have granted a lease that ends later. */
	readonly mayHaveEarlierLease: boolean;
};

/** The end of each owner's lease. Owners that this controller has granted no lease are bound by the leases of earlier controllers. */
export class LeaseTable {
	readonly #leases = new Map<BackendInstanceKey, Lease>();
	readonly #leaseMs: number;
	#earlierLeasesEndMs: number;
	#predecessorVms: Set<string>;
	#inheritedLeasesEndMs: number;
	#hasUnknownController = false;
	#followers: FollowerQuorum | undefined;

	/** `leaseMs` is the longest lease that any controller grants at a time. */
	constructor({earlierLeasesEndMs, predecessors, quorum}: EarlierLeases, leaseMs: number) {
		this.#earlierLeasesEndMs = earlierLeasesEndMs;
		this.#predecessorVms = new Set(predecessors?.vmIds);
		this.#inheritedLeasesEndMs = predecessors?.inheritedLeasesEndMs ?? 0;
		this.#leaseMs = leaseMs;
		this.#followers = quorum === undefined ? undefined : new FollowerQuorum(quorum);
	}

	/** The latest time at which a lease granted by an earlier controller ends. */
	get earlierLeasesEndMs(): number {
		return this.#earlierLeasesEndMs;
	}

	/** Records the lease granted to an owner. Until the owner's node follows this controller, a reply of an earlier controller may still reach that node. */
	record(owner: BackendInstanceKey, endMs: number, isFollowing: boolean): void {
		// The owner keeps a lease that was granted before and ends later.
		this.#leases.set(owner, {endMs: Math.max(endMs, this.#leases.get(owner)?.endMs ?? endMs), mayHaveEarlierLease: !isFollowing});
	}

	remove(owner: BackendInstanceKey): void {
		this.#leases.delete(owner);
	}

	/**
	 * Records that the node on a VM follows this controller. Any earlier controller that ran there has ended or stepped down. If
	 * that is true of all of them, their last lease ends within `leaseMs`, extended by the clock drift. Followers that bind the
	 * previous controller's leases prove the end of these even if nothing is heard of its VM.
	 */
	recordFollower(heartbeat: Pick<MemberHeartbeat, 'vmId' | 'incarnation' | 'earlierReplyAgeMs'>, nowMs: number): void {
		this.#followers?.record(heartbeat, nowMs);
		const boundMs = this.#followers?.leasesEndMs ?? Number.POSITIVE_INFINITY;
		this.#earlierLeasesEndMs = Math.min(this.#earlierLeasesEndMs, Math.max(boundMs, this.#inheritedLeasesEndMs));
		const {vmId} = heartbeat;
		if (this.#predecessorVms.delete(vmId) && this.#predecessorVms.size === 0) {
			const lastEndMs = nowMs + (this.#leaseMs * (1 + maxClockDrift));
			this.#earlierLeasesEndMs = Math.min(this.#earlierLeasesEndMs, Math.max(lastEndMs, this.#inheritedLeasesEndMs));
		}
	}

	/**
	 * Records that another controller, of which this one does not know, may have granted leases until `endMs`; it may run on any of
	 * the VMs. Owners whose nodes go on following this controller have no other lease.
	 */
	recordUnknownController(endMs: number, vmIds: readonly string[]): void {
		for (const [owner, lease] of this.#leases) {
			this.#leases.set(owner, {...lease, mayHaveEarlierLease: true});
		}

		this.#hasUnknownController = true;
		this.#followers = undefined;
		this.#inheritedLeasesEndMs = Math.max(this.#inheritedLeasesEndMs, this.#predecessorVms.size > 0 ? this.#earlierLeasesEndMs : 0);
		this.#earlierLeasesEndMs = Math.max(this.#earlierLeasesEndMs, endMs);
		this.#predecessorVms = new Set([...this.#predecessorVms, ...vmIds]);
	}

	/** Records that there was no earlier controller. */
	recordNoEarlierLeases(): void {
		this.#earlierLeasesEndMs = Number.NEGATIVE_INFINITY;
	}

	/** Returns whether a controller of which this one does not know may have granted any range that has no living owner. */
	mayHaveUnknownLeases(nowMs: number): boolean {
		return this.#hasUnknownController && nowMs < this.#earlierLeasesEndMs;
	}

	/** Returns whether every lease that an owner may have has ended. */
	hasEnded(owner: BackendInstanceKey, nowMs: number): boolean {
		const lease = this.#leases.get(owner);
		const endMs = lease?.endMs ?? Number.NEGATIVE_INFINITY;
		return nowMs >= (lease?.mayHaveEarlierLease === false ? endMs : Math.max(endMs, this.#earlierLeasesEndMs));
	}
}
