import type {Configuration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {PartitionId, VmId} from '@buckthornpoint/types/identity.js';
import type {CellMap, Member, ServicePlacement} from '@buckthornpoint/types/membership.js';
import {addToLoad, createBearerLoads, type BearerLoad} from './vm-load.js';
import {assignOrphans, balancePartitions, noOwner} from './owners.js';
import {defaultHotKeyLimits, planExceptions, type HotKeyLimits} from './plan-exceptions.js';

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
	/** When a key counts as hot; `defaultHotKeyLimits` by default. */
	readonly hotKeyLimits?: HotKeyLimits;
};

/**
 * Plans who owns what. A partition stays where it is unless its owner may not own it any more, or a move brings two
 * VMs nearer to their shares. Deterministic: the same input gives the same plan in every process.
 */
export function planPlacement(input: PlacementInput, opts: PlacementOpts): PlacementPlan {
	const vmIds = input.members.map(({vmId}) => vmId);
	let remainingMoves = opts.maxBalanceMoves;
	const placements = input.configuration.services.map((service): ServicePlacement => {
		const loads = createBearerLoads(input, service.name);
		const owners = listKeptOwners(input, service, loads);
		assignOrphans(owners, loads, service.name);
		remainingMoves -= balancePartitions(owners, loads, remainingMoves);
		return {service: service.name, owners, exceptions: planExceptions(input, service.name, opts.hotKeyLimits ?? defaultHotKeyLimits)};
	});
	const moves = listMoves(input.previous, {version: 0, vmIds, placements});
	if (moves.length === 0 && isSameShape(input.previous, vmIds, placements)) {
		return {map: input.previous, moves};
	}

	return {map: {version: input.previous.version + 1, vmIds, placements}, moves};
}

// The owners that may stay, as indices into the members, and -1 for the others.
function listKeptOwners(input: PlacementInput, service: ServiceConfiguration, loads: readonly BearerLoad[]): number[] {
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
