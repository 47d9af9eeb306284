import {clockDrift} from './clock-drift.js';
import type {BackendKey} from './key-ranges.js';

/** What earlier controllers left, on this controller's clock. */
export type EarlierLeases = {
	/** Until when earlier controllers may have let nodes grant. */
	readonly earlierLeasesEndMs: number;
	/** The controller before, with until when leases of those before it may run. */
	readonly predecessor?: {readonly vmId: string; readonly inheritedLeasesEndMs: number};
};

type Lease = {
	readonly endMs: number;
	/** An earlier controller may have given a later one. */
	readonly mayBeEarlier: boolean;
};

/** Until when each owner may hold its keys, as far as it was heard; for others, until when earlier controllers may have let them. */
export class LeaseTable {
	readonly #leases = new Map<BackendKey, Lease>();
	readonly #leaseMs: number;
	#earlierLeasesEndMs: number;
	#predecessor: EarlierLeases['predecessor'];

	/** `leaseMs` is the longest lease that any controller gives at a time. */
	constructor({earlierLeasesEndMs, predecessor}: EarlierLeases, leaseMs: number) {
		this.#earlierLeasesEndMs = earlierLeasesEndMs;
		this.#predecessor = predecessor;
		this.#leaseMs = leaseMs;
	}

	/** Until when leases that earlier controllers gave may run. */
	get earlierLeasesEndMs(): number {
		return this.#earlierLeasesEndMs;
	}

	/** Takes note of the lease that an owner gets. Until its node follows this controller, an answer of an earlier one may still reach it. */
	note(owner: BackendKey, endMs: number, isFollowing: boolean): void {
		this.#leases.set(owner, {endMs, mayBeEarlier: !isFollowing});
	}

	remove(owner: BackendKey): void {
		this.#leases.delete(owner);
	}

	/**
	 * Takes note that the node on a VM follows this controller. If the controller before was there, it ended or stepped
	 * down, and the last lease that it gave ends within the length of one.
	 */
	noteFollower(vmId: string, nowMs: number): void {
		if (vmId === this.#predecessor?.vmId) {
			const lastEndMs = nowMs + (this.#leaseMs * (1 + clockDrift));
			this.#earlierLeasesEndMs = Math.min(this.#earlierLeasesEndMs, Math.max(lastEndMs, this.#predecessor.inheritedLeasesEndMs));
			this.#predecessor = undefined;
		}
	}

	/** Tells whether the last lease that an owner may have has ended. */
	isOver(owner: BackendKey, nowMs: number): boolean {
		const lease = this.#leases.get(owner);
		const endMs = lease?.endMs ?? Number.NEGATIVE_INFINITY;
		return nowMs >= (lease?.mayBeEarlier === false ? endMs : Math.max(endMs, this.#earlierLeasesEndMs));
	}
}
