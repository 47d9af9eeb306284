import type {ServiceName} from '@buckthornpoint/types/identity.js';
import {
	addToLoad, compareLoad, compareFreeCapacity, pickFirst, type VmLoad,
} from './vm-load.js';
import {hashString} from './partition-hash.js';

/** Represents "no owner" in a list of owners. */
export const noOwner = -1;

/** Assigns each partition without an owner to the VM with the most free capacity. Modifies `owners` and the loads. */
export function assignUnownedPartitions(owners: number[], loads: readonly VmLoad[], service: ServiceName): void {
	const ordered = sortByHash(loads, service);
	for (const [partition, owner] of owners.entries()) {
		const recipient = owner === noOwner ? pickFirst(ordered, compareFreeCapacity) : undefined;
		if (recipient !== undefined) {
			owners[partition] = recipient.index;
			addToLoad(recipient, 1);
		}
	}
}

/**
 * Moves partitions from the VM that owns the most for its weight to the one with the most free capacity, as long as this
 * reduces their difference. Modifies `owners` and the loads; returns the number of moves.
 */
export function balancePartitions(owners: number[], loads: readonly VmLoad[], maxMoves: number): number {
	let moved = 0;
	while (moved < maxMoves) {
		const source = pickFirst(loads, compareLoad);
		const recipient = pickFirst(loads, compareFreeCapacity);
		if (source === undefined || recipient === undefined || source.count / source.weight <= (recipient.count + 1) / recipient.weight) {
			break;
		}

		owners[owners.indexOf(source.index)] = recipient.index;
		addToLoad(source, -1);
		addToLoad(recipient, 1);
		moved++;
	}

	return moved;
}

// Among VMs with equal free capacity, the order depends on the service, so that the services of a cell start with different VMs.
function sortByHash(loads: readonly VmLoad[], service: ServiceName): readonly VmLoad[] {
	const hashes = new Map(loads.map(load => [load, hashString(`${service}/${load.vmId}`)]));
	return loads.toSorted((left, right) => (hashes.get(left) ?? 0) - (hashes.get(right) ?? 0));
}
