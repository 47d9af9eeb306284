import type {FailureDomainName, ServiceName, VmId} from '@buckthornpoint/types/identity.js';
import type {PlacementInput} from './plan-placement.js';

const defaultWeight = 1;

/** Partitions of the VMs of one failure domain, counted while a plan is made. */
export type DomainLoad = {
	count: number;
	weight: number;
};

/** A VM that may own partitions of a service, with how many it owns so far. Changes while a plan is made. */
export type BearerLoad = {
	readonly vmId: VmId;
	/** Index into the members of the plan. */
	readonly index: number;
	readonly weight: number;
	readonly domain: DomainLoad;
	count: number;
};

/** Creates the loads of all VMs that may own partitions of the service, without any partition. */
export function createBearerLoads({members, bearers, weights}: PlacementInput, service: ServiceName): readonly BearerLoad[] {
	const domains = new Map<FailureDomainName, DomainLoad>();
	return members.flatMap(({vmId, failureDomain, backendServer}, index): readonly BearerLoad[] => {
		const weight = weights.get(vmId) ?? defaultWeight;
		if (!bearers.has(vmId) || backendServer?.service !== service || weight <= 0) {
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

/** Moves one partition into a VM's count, or with -1 out of it. */
export function addToLoad(load: BearerLoad, change: 1 | -1): void {
	load.count += change;
	load.domain.count += change;
}

/** Compares two VMs by what they would own after one more partition, then by their failure domains: negative when `left` has more room. */
export function compareRoom(left: BearerLoad, right: BearerLoad): number {
	return ((left.count + 1) / left.weight) - ((right.count + 1) / right.weight) || compareDomains(left, right);
}

/** Compares two VMs by what they own, then by their failure domains: negative when `left` owns more for its weight. */
export function compareExcess(left: BearerLoad, right: BearerLoad): number {
	return (right.count / right.weight) - (left.count / left.weight) || compareDomains(right, left);
}

/** Returns the first of the loads by the given order, the earlier one where two are equal. */
export function pickFirst(loads: readonly BearerLoad[], compare: (left: BearerLoad, right: BearerLoad) => number): BearerLoad | undefined {
	let first: BearerLoad | undefined;
	for (const load of loads) {
		if (first === undefined || compare(load, first) < 0) {
			first = load;
		}
	}

	return first;
}

function compareDomains(left: BearerLoad, right: BearerLoad): number {
	return (left.domain.count / left.domain.weight) - (right.domain.count / right.domain.weight);
}
