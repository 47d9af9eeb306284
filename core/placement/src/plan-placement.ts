import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {PartitionId, VmId} from '@buckthornpoint/types/identity.js';
import type {CellMap, Member, ServicePlacement} from '@buckthornpoint/types/membership.js';
import {hashText} from './partition-hash.js';

/** A key that gets a large share of its partition's requests. */
export type HotKey = {
	readonly service: string;
	readonly key: string;
	/** Requests a second. */
	readonly rate: number;
};

/** What a placement is planned from. */
export type PlacementInput = {
	readonly previous: CellMap;
	/** All members of the cell, ordered by `vmId`. */
	readonly members: readonly Member[];
	/** The VMs that may own partitions now. */
	readonly bearers: ReadonlySet<VmId>;
	readonly configuration: Configuration;
	/** How much a VM bears, relative to others; 1 where a VM is not named. A cold or straggling one bears less. */
	readonly weights: ReadonlyMap<VmId, number>;
	readonly hotKeys: readonly HotKey[];
};

/** A partition that gets another owner. */
export type PartitionMove = {
	readonly partition: PartitionId;
	readonly from: VmId | undefined;
	readonly to: VmId | undefined;
};

/** A map and how it differs from the previous one. */
export type PlacementPlan = {
	/** Equal to the previous map, version included, when nothing moves. */
	readonly map: CellMap;
	readonly moves: readonly PartitionMove[];
};

/** What limits a plan. */
export type PlacementOpts = {
	/** The most partitions that are moved only for better balance; those of lost or leaving VMs always move. */
	readonly maxBalanceMoves: number;
};

/** Plans who owns what. Deterministic: the same input gives the same plan in every process. */
export function planPlacement(input: PlacementInput, opts: PlacementOpts): PlacementPlan {
	const vmIds = input.members.map(({vmId}) => vmId);
	const placements = input.configuration.services.map(({name, partitionCount}): ServicePlacement => ({
		service: name,
		owners: Array.from({length: partitionCount}, (_, partition) => chooseOwner(input, name, partition)),
		exceptions: [],
	}));
	const moves = listMoves(input.previous, {version: 0, vmIds, placements});
	if (moves.length === 0 && opts.maxBalanceMoves >= 0 && vmIds.join(',') === input.previous.vmIds.join(',')) {
		return {map: input.previous, moves};
	}

	return {map: {version: input.previous.version + 1, vmIds, placements}, moves};
}

function chooseOwner(input: PlacementInput, service: string, partition: number): number {
	let best = -1;
	let bestScore = -1;
	for (const [index, member] of input.members.entries()) {
		const score = hashText(`${member.vmId}/${service}/${partition}`);
		if (input.bearers.has(member.vmId) && member.backendServer?.service === service && score > bestScore) {
			best = index;
			bestScore = score;
		}
	}

	return best;
}

function listMoves(previous: CellMap, next: CellMap): readonly PartitionMove[] {
	return next.placements.flatMap(({service, owners}) => owners.flatMap((owner, partition) => {
		const known = previous.placements.find(placement => placement.service === service)?.owners[partition] ?? -1;
		const from = previous.vmIds[known];
		const to = next.vmIds[owner];
		return from === to ? [] : [{partition: {service, partition}, from, to}];
	}));
}
