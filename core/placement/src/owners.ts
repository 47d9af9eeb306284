import type {ServiceName} from '@buckthornpoint/types/identity.js';
import {
	addToLoad, compareExcess, compareRoom, pickFirst, type BearerLoad,
} from './vm-load.js';
import {hashText} from './partition-hash.js';

/** Stands for no VM in a list of owners. */
export const noOwner = -1;

/** Gives each partition without an owner to the VM that has the most room. Changes `owners` and the loads. */
export function assignOrphans(owners: number[], loads: readonly BearerLoad[], service: ServiceName): void {
	const ordered = sortByHash(loads, service);
	for (const [partition, owner] of owners.entries()) {
		const heir = owner === noOwner ? pickFirst(ordered, compareRoom) : undefined;
		if (heir !== undefined) {
			owners[partition] = heir.index;
			addToLoad(heir, 1);
		}
	}
}

/**
 * Moves partitions from the VM that owns the most for its weight to the one with the most room, as long as that brings
 * them nearer to each other. Changes `owners` and the loads; returns how many moved.
 */
export function balancePartitions(owners: number[], loads: readonly BearerLoad[], maxMoves: number): number {
	let moved = 0;
	while (moved < maxMoves) {
		const donor = pickFirst(loads, compareExcess);
		const heir = pickFirst(loads, compareRoom);
		if (donor === undefined || heir === undefined || donor.count / donor.weight <= (heir.count + 1) / heir.weight) {
			break;
		}

		owners[owners.indexOf(donor.index)] = heir.index;
		addToLoad(donor, -1);
		addToLoad(heir, 1);
		moved++;
	}

	return moved;
}

// Where VMs have equal room, the services of a cell begin at different ones.
function sortByHash(loads: readonly BearerLoad[], service: ServiceName): readonly BearerLoad[] {
	const hashes = new Map(loads.map(load => [load, hashText(`${service}/${load.vmId}`)]));
	return loads.toSorted((left, right) => (hashes.get(left) ?? 0) - (hashes.get(right) ?? 0));
}
