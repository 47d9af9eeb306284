import type {Grant, OwnershipView, Predecessor} from '@buckthornpoint/ownership/ownership-view.js';
import {formatPartitionId, type PartitionId} from '@buckthornpoint/types/identity.js';

/** Remembers the last grant of each partition that this run of the node owned, also after it was given up. */
export class OwnershipHistory {
	readonly #grants = new Map<string, Grant>();

	/** Takes note of the grants of a view. */
	record(view: OwnershipView): void {
		for (const [key, grant] of view.grants) {
			this.#grants.set(key, grant);
		}
	}

	/** Returns the last grant of the partition. */
	findGrant(partition: PartitionId): Grant | undefined {
		return this.#grants.get(formatPartitionId(partition));
	}
}

/** Who may have run a request that this node has not seen. */
export type EarlierOwner
	= | {readonly kind: 'nobody'}
		| {readonly kind: 'predecessor'; readonly predecessor: Predecessor}
		| {readonly kind: 'unknown'};

/** Judges who may have run a request of the grant's partition before this node. */
export function findEarlierOwner(grant: Grant | undefined, isIssuedUnderGrant: boolean): EarlierOwner {
	if (grant === undefined) {
		return {kind: 'unknown'};
	}

	if (isIssuedUnderGrant || grant.predecessor === undefined) {
		return {kind: 'nobody'};
	}

	return grant.predecessor.released ? {kind: 'predecessor', predecessor: grant.predecessor} : {kind: 'unknown'};
}
