import {hasPassed, type Moment} from '@buckthornpoint/clock/clock.js';
import {
	formatPartitionId, type Fence, type NodeIdentity, type PartitionId,
} from '@buckthornpoint/types/identity.js';
import {err, ok, type Result} from 'neverthrow';

/** Who owned a partition before the present grant. */
export type Predecessor = {
	readonly node: NodeIdentity;
	/** Whether it released the partition itself, so that it still remembers its requests. */
	readonly released: boolean;
};

/** A node's right to hand requests of a partition to its backend server. */
export type Grant = {
	readonly partition: PartitionId;
	readonly fence: Fence;
	/** When this node began to own the partition without a break, in its own clocks. */
	readonly ownedSince: Moment;
	/** Absent when nobody owned the partition before. */
	readonly predecessor: Predecessor | undefined;
	/** Whether the partition is being handed over: nothing new is admitted, what runs is finished. */
	readonly releasing: boolean;
};

/** What a node may do at present. The cell task publishes one; the guard reads it before every hand-over. */
export type OwnershipView = {
	readonly node: NodeIdentity;
	/** End of the node's lease; absent while it holds none. */
	readonly leaseEnd: Moment | undefined;
	/** Grants by `formatPartitionId`. */
	readonly grants: ReadonlyMap<string, Grant>;
};

/** Why a request may not be handed over. */
export type GrantRefusal = {
	readonly reason: 'no-grant' | 'lease-ended' | 'releasing';
};

/** A grant that is in force, and the end of the lease that carries it. */
export type GrantInForce = {
	readonly grant: Grant;
	readonly leaseEnd: Moment;
};

/** Checks that the node may hand over a request of the partition at `now`. */
export function checkGrant(view: OwnershipView, partition: PartitionId, now: Moment): Result<GrantInForce, GrantRefusal> {
	const {leaseEnd} = view;
	if (leaseEnd === undefined || hasPassed(leaseEnd, now)) {
		return err({reason: 'lease-ended'});
	}

	const grant = view.grants.get(formatPartitionId(partition));
	if (grant === undefined) {
		return err({reason: 'no-grant'});
	}

	return grant.releasing ? err({reason: 'releasing'}) : ok({grant, leaseEnd});
}
