import type {Configuration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {PartitionId, VmId} from '@buckthornpoint/types/identity.js';
import type {CellMap, Member, ServicePlacement} from '@buckthornpoint/types/membership.js';
import {addToLoad, createVmLoads, type VmLoad} from './vm-load.js';
import {assignUnownedPartitions, balancePartitions, noOwner} from './owners.js';
import {defaultHotKeyLimits, planExceptions, type HotKeyLimits} from './plan-exceptions.js';

/** A key that receives a large share of its partition's requests. */
export type HotKey = {
	readonly service: string;
	readonly key: string;
	readonly requestsPerSecond: number;
};

/** Input of `planPlacement`. */
export type PlacementInput = {
	readonly previous: CellMap;
	/** All members of the cell, ordered by `vmId`. */
	readonly members: readonly Member[];
	/** The VMs that may own partitions now. */
	readonly eligibleVms: ReadonlySet<VmId>;
	readonly configuration: Configuration;
	/** Relative capacity of each VM; 1 if a VM has no entry. Lower for a cold or straggling VM. */
	readonly weights: ReadonlyMap<VmId, number>;
	readonly hotKeys: readonly HotKey[];
};

/** A partition whose owner changes. */
export type PartitionMove = {
	readonly partition: PartitionId;
	readonly from: VmId | undefined;
	readonly to: VmId | undefined;
};

/** A planned map and its differences from the previous one. */
export type PlacementPlan = {
	/** The previous map itself, with its version, if nothing changes. */
	readonly map: CellMap;
	readonly moves: readonly PartitionMove[];
};

/** Limits of a plan. */
export type PlacementOpts = {
	/**
	 * Maximum number of partitions that are moved only to improve the balance. Partitions of lost or leaving VMs always
	 * move.
	 */
	readonly maxBalanceMoves: number;
	/** When a key counts as hot. Default: `defaultHotKeyLimits`. */
	readonly hotKeyLimits?: HotKeyLimits;
};

/**
 * Plans the owners of all partitions. A partition keeps its owner unless that VM may no longer own it, or moving it
 * improves the balance. Deterministic: the same input gives the same plan in every process.
 */
export function planPlacement(input: PlacementInput, opts: PlacementOpts): PlacementPlan {
	const vmIds = input.members.map(({vmId}) => vmId);
	let remainingMoves = opts.maxBalanceMoves;
	const placements = input.configuration.services.map((service): ServicePlacement => {
		const loads = createVmLoads(input, service.name);
		const owners = listKeptOwners(input, service, loads);
		assignUnownedPartitions(owners, loads, service.name);
		remainingMoves -= balancePartitions(owners, loads, remainingMoves);
		return {service: service.name, owners, exceptions: planExceptions(input, service.name, opts.hotKeyLimits ?? defaultHotKeyLimits)};
	});
	const moves = listMoves(input.previous, {version: 0, vmIds, placements});
	if (moves.length === 0 && isSameShape(input.previous, vmIds, placements)) {
		return {map: input.previous, moves};
	}

	return {map: {version: input.previous.version + 1, vmIds, placements}, moves};
}

// Returns the previous owners that may stay, as indices in the members, and `noOwner` for the other partitions.
function listKeptOwners(input: PlacementInput, service: ServiceConfiguration, loads: readonly VmLoad[]): number[] {
	const known = input.previous.placements.find(placement => placement.service === service.name)?.owners ?? [];
	const loadByVmId = new Map(loads.map(load => [load.vmId, load]));
	const loadByOwner = input.previous.vmIds.map(vmId => loadByVmId.get(vmId));
	return Array.from({length: service.partitionCount}, (_, partition) => {
		const load = loadByOwner[known[partition] ?? noOwner];
		if (load === undefined) {
			return noOwner;
		}

		addToLoad(load, 1);
		return load.index;
	});
}

function isSameShape(previous: CellMap, vmIds: readonly VmId[], placements: readonly ServicePlacement[]): boolean {
	const listShape = (services: readonly ServicePlacement[]): string =>
		JSON.stringify(services.map(({service, owners, exceptions}) => [service, owners.length, exceptions]));
	return vmIds.join('\n') === previous.vmIds.join('\n') && listShape(placements) === listShape(previous.placements);
}

function listMoves(previous: CellMap, next: CellMap): readonly PartitionMove[] {
	const knownOwners = new Map(previous.placements.map(({service, owners}) => [service, owners]));
	return next.placements.flatMap(({service, owners}) => owners.flatMap((owner, partition) => {
		const from = previous.vmIds[knownOwners.get(service)?.[partition] ?? noOwner];
		const to = next.vmIds[owner];
		return from === to ? [] : [{partition: {service, partition}, from, to}];
	}));
}
