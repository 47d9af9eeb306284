import {hasPassed, type Timestamp} from '@buckthornpoint/clock/clock.js';
import {
	formatPartitionId, type Fence, type NodeIdentity, type PartitionId,
} from '@buckthornpoint/types/identity.js';
import {err, ok, type Result} from 'neverthrow';

/** The node that owned a partition before the current grant. */
export type Predecessor = {
	readonly node: NodeIdentity;
	/** Whether it released the partition itself, so that it still has the outcomes of the partition's requests. */
	readonly released: boolean;
};

/** A node's permission to hand requests of a partition to its backend server. */
export type Grant = {
	readonly partition: PartitionId;
	readonly fence: Fence;
	/** Since when this node has owned the partition without interruption, on its own clocks. */
	readonly ownedSince: Timestamp;
	/** Absent when nobody owned the partition before. */
	readonly predecessor: Predecessor | undefined;
	/** Whether the partition is being handed over: no new request is admitted, running ones are finished. */
	readonly releasing: boolean;
};

/**
 * The current lease and grants of a node. Each change is published here, and each request is checked against it before
 * it is handed to the backend server.
 */
export type OwnershipView = {
	readonly node: NodeIdentity;
	/** End of the node's lease; absent while it holds none. */
	readonly leaseEnd: Timestamp | undefined;
	/** Grants by `formatPartitionId`. */
	readonly grants: ReadonlyMap<string, Grant>;
};

/** Why a request may not be handed to the backend server. */
export type GrantRefusal = {
	readonly reason: 'no-grant' | 'lease-ended' | 'releasing';
};

/** A grant that is in force, and the end of the lease that it depends on. */
export type ActiveGrant = {
	readonly grant: Grant;
	readonly leaseEnd: Timestamp;
};

/** Checks that the node may hand a request of the partition to its backend server at `now`. */
export function checkGrant(view: OwnershipView, partition: PartitionId, now: Timestamp): Result<ActiveGrant, GrantRefusal> {
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
