import {maxClockDrift} from './clock-drift.js';
import type {BackendInstanceKey} from './key-ranges.js';

/** Leases that earlier controllers may have granted; times are on this controller's clock. */
export type EarlierLeases = {
	/** The latest time at which a lease granted by an earlier controller ends. */
	readonly earlierLeasesEndMs: number;
	/** The previous controller, with the latest end of the leases granted by controllers before it. */
	readonly predecessor?: {readonly vmId: string; readonly inheritedLeasesEndMs: number};
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
	#predecessor: EarlierLeases['predecessor'];

	/** `leaseMs` is the longest lease that any controller grants at a time. */
	constructor({earlierLeasesEndMs, predecessor}: EarlierLeases, leaseMs: number) {
		this.#earlierLeasesEndMs = earlierLeasesEndMs;
		this.#predecessor = predecessor;
		this.#leaseMs = leaseMs;
	}

	/** The latest time at which a lease granted by an earlier controller ends. */
	get earlierLeasesEndMs(): number {
		return this.#earlierLeasesEndMs;
	}

	/** Records the lease granted to an owner. Until the owner's node follows this controller, a reply of an earlier controller may still reach that node. */
	record(owner: BackendInstanceKey, endMs: number, isFollowing: boolean): void {
		this.#leases.set(owner, {endMs, mayHaveEarlierLease: !isFollowing});
	}

	remove(owner: BackendInstanceKey): void {
		this.#leases.delete(owner);
	}

	/**
	 * Records that the node on a VM follows this controller. If the previous controller ran there, it has ended or stepped
	 * down, so its last lease ends within `leaseMs`, extended by the clock drift.
	 */
	recordFollower(vmId: string, nowMs: number): void {
		if (vmId === this.#predecessor?.vmId) {
			const lastEndMs = nowMs + (this.#leaseMs * (1 + maxClockDrift));
			this.#earlierLeasesEndMs = Math.min(this.#earlierLeasesEndMs, Math.max(lastEndMs, this.#predecessor.inheritedLeasesEndMs));
			this.#predecessor = undefined;
		}
	}

	/** Returns whether every lease that an owner may have has ended. */
	hasEnded(owner: BackendInstanceKey, nowMs: number): boolean {
		const lease = this.#leases.get(owner);
		const endMs = lease?.endMs ?? Number.NEGATIVE_INFINITY;
		return nowMs >= (lease?.mayHaveEarlierLease === false ? endMs : Math.max(endMs, this.#earlierLeasesEndMs));
	}
}
