import type {Grant, OwnershipView, Predecessor} from '@buckthornpoint/ownership/ownership-view.js';
import {formatPartitionId, type PartitionId} from '@buckthornpoint/types/identity.js';

/** Keeps the last grant of each partition that this node instance has owned, including released ones. */
export class OwnershipHistory {
	readonly #grants = new Map<string, Grant>();

	/** Records all grants that the node holds. */
	record(view: OwnershipView): void {
		for (const [key, grant] of view.grants) {
			this.#grants.set(key, grant);
		}
	}

	findGrant(partition: PartitionId): Grant | undefined {
		return this.#grants.get(formatPartitionId(partition));
	}
}

/** The earlier owner that may have executed a request that this node has not seen. */
export type EarlierOwner
	= | {readonly kind: 'nobody'}
		| {readonly kind: 'predecessor'; readonly predecessor: Predecessor}
		| {readonly kind: 'unknown'};

/**
 * Determines which earlier owner of a partition may have executed a request. Returns `nobody` if there was no earlier
 * owner or the request id was issued after this node became the owner, and `unknown` if this node has no grant or its
 * predecessor did not release the partition.
 */
export function findEarlierOwner(grant: Grant | undefined, isIssuedUnderGrant: boolean): EarlierOwner {
	if (grant === undefined) {
		return {kind: 'unknown'};
	}

	if (isIssuedUnderGrant || grant.predecessor === undefined) {
		return {kind: 'nobody'};
	}

	return grant.predecessor.released ? {kind: 'predecessor', predecessor: grant.predecessor} : {kind: 'unknown'};
}
