import type {ServiceName, VmId} from '@buckthornpoint/types/identity.js';
import type {KeyException} from '@buckthornpoint/types/membership.js';
import {createVmLoads, type VmLoad} from './vm-load.js';
import type {PlacementInput} from './plan-placement.js';

/** When a key gets its own owner, independent of its partition. */
export type HotKeyLimits = {
	/** Rate at or above which a key gets its own owner. */
	readonly enterRequestsPerSecond: number;
	/**
	 * Rate below which a key returns to the owner of its partition. Lower than the other rate, so that the key does not
	 * move back and forth.
	 */
	readonly leaveRequestsPerSecond: number;
	/** Maximum number of keys of a service that have their own owners. */
	readonly maxKeys: number;
};

/** Limits for a deployment whose backend servers answer a few thousand requests per second. */
export const defaultHotKeyLimits: HotKeyLimits = {enterRequestsPerSecond: 500, leaveRequestsPerSecond: 250, maxKeys: 80};

/** Plans which keys of a service have their own owners. A key keeps its owner as long as that VM may own it. */
export function planExceptions(input: PlacementInput, service: ServiceName, limits: HotKeyLimits): readonly KeyException[] {
	const rates = new Map(input.hotKeys.filter(hotKey => hotKey.service === service).map(({key, requestsPerSecond}) => [key, requestsPerSecond]));
	const known = input.previous.placements.find(placement => placement.service === service)?.exceptions ?? [];
	const kept = known.filter(({key}) => (rates.get(key) ?? 0) >= limits.leaveRequestsPerSecond).slice(0, limits.maxKeys);
	const added = [...rates]
		.filter(([key, rate]) => rate >= limits.enterRequestsPerSecond && !kept.some(exception => exception.key === key))
		.toSorted(([leftKey, leftRate], [rightKey, rightRate]) => rightRate - leftRate || (leftKey < rightKey ? -1 : 1))
		.slice(0, limits.maxKeys - kept.length)
		.map(([key]) => ({key, owner: undefined}));
	return assignOwners([...kept, ...added], createVmLoads(input, service), rates);
}

type DesiredException = {
	readonly key: string;
	readonly owner: VmId | undefined;
};

// Here, the load of a VM is the total rate of its hot keys divided by its weight.
function assignOwners(desired: readonly DesiredException[], loads: readonly VmLoad[], rates: ReadonlyMap<string, number>): readonly KeyException[] {
	const loadByVmId = new Map(loads.map(load => [load.vmId, load]));
	const rateByVmId = new Map<VmId, number>();
	const addRate = (vmId: VmId, key: string): void => {
		rateByVmId.set(vmId, (rateByVmId.get(vmId) ?? 0) + ((rates.get(key) ?? 0) / (loadByVmId.get(vmId)?.weight ?? 1)));
	};

	for (const {key, owner} of desired) {
		if (owner !== undefined && loadByVmId.has(owner)) {
			addRate(owner, key);
		}
	}

	return desired.flatMap(({key, owner}): readonly KeyException[] => {
		if (owner !== undefined && loadByVmId.has(owner)) {
			return [{key, owner}];
		}

		const [recipient] = loads.toSorted((left, right) => (rateByVmId.get(left.vmId) ?? 0) - (rateByVmId.get(right.vmId) ?? 0));
		if (recipient === undefined) {
			return [];
		}

		addRate(recipient.vmId, key);
		return [{key, owner: recipient.vmId}];
	});
}
