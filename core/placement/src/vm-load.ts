import type {FailureDomainName, ServiceName, VmId} from '@buckthornpoint/types/identity.js';
import type {PlacementInput} from './plan-placement.js';

const defaultWeight = 1;

/** Number of partitions and total weight of the VMs in one failure domain. Updated during planning. */
export type DomainLoad = {
	count: number;
	weight: number;
};

/** A VM that may own partitions of a service, with the number that it owns so far. Updated during planning. */
export type VmLoad = {
	readonly vmId: VmId;
	/** Index in the members of the plan. */
	readonly index: number;
	readonly weight: number;
	readonly domain: DomainLoad;
	count: number;
};

/** Creates the loads, initially 0, of all VMs that may own partitions of the service. */
export function createVmLoads({members, eligibleVms: eligibleVmIds, weights}: PlacementInput, service: ServiceName): readonly VmLoad[] {
	const domains = new Map<FailureDomainName, DomainLoad>();
	return members.flatMap(({vmId, failureDomain, backendServer}, index): readonly VmLoad[] => {
		const weight = weights.get(vmId) ?? defaultWeight;
		if (!eligibleVmIds.has(vmId) || backendServer?.service !== service || weight <= 0) {
			return [];
		}

		const domain = domains.get(failureDomain) ?? {count: 0, weight: 0};
		domain.weight += weight;
		domains.set(failureDomain, domain);
		return [{
			vmId, index, weight, domain, count: 0,
		}];
	});
}

/** Adds one partition to the counts of a VM and its failure domain, or removes one with -1. */
export function addToLoad(load: VmLoad, change: 1 | -1): void {
	load.count += change;
	load.domain.count += change;
}

/**
 * Compares two VMs by their relative load after one more partition, then by their failure domains. Negative if `left`
 * has more free capacity.
 */
export function compareFreeCapacity(left: VmLoad, right: VmLoad): number {
	return ((left.count + 1) / left.weight) - ((right.count + 1) / right.weight) || compareDomains(left, right);
}

/** Compares two VMs by their relative load, then by their failure domains. Negative if `left` owns more for its weight. */
export function compareLoad(left: VmLoad, right: VmLoad): number {
	return (right.count / right.weight) - (left.count / left.weight) || compareDomains(right, left);
}

/** Returns the minimum of the loads by the given order; the earliest of them if several are equal. */
export function pickFirst(loads: readonly VmLoad[], compare: (left: VmLoad, right: VmLoad) => number): VmLoad | undefined {
	let first: VmLoad | undefined;
	for (const load of loads) {
		if (first === undefined || compare(load, first) < 0) {
			first = load;
		}
	}

	return first;
}

function compareDomains(left: VmLoad, right: VmLoad): number {
	return (left.domain.count / left.domain.weight) - (right.domain.count / right.domain.weight);
}
