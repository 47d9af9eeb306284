import type {ServiceName, VmId} from '@buckthornpoint/types/identity.js';
import type {KeyException} from '@buckthornpoint/types/membership.js';
import {createBearerLoads, type BearerLoad} from './vm-load.js';
import type {PlacementInput} from './plan-placement.js';

/** When a key gets an owner of its own. */
export type HotKeyLimits = {
	/** Rate from which on a key gets an owner of its own, in requests a second. */
	readonly enterRate: number;
	/** Rate below which it goes back to the owner of its partition, in requests a second. Lower, so that it does not move to and fro. */
	readonly leaveRate: number;
	/** The most keys of a service that have owners of their own. */
	readonly maxCount: number;
};

/** The limits of a deployment whose backend servers answer some thousand requests a second. */
export const defaultHotKeyLimits: HotKeyLimits = {enterRate: 500, leaveRate: 250, maxCount: 80};

/** Plans which keys of a service have owners of their own. A key keeps its owner as long as that VM may own it. */
export function planExceptions(input: PlacementInput, service: ServiceName, limits: HotKeyLimits): readonly KeyException[] {
	const rates = new Map(input.hotKeys.filter(hotKey => hotKey.service === service).map(({key, rate}) => [key, rate]));
	const known = input.previous.placements.find(placement => placement.service === service)?.exceptions ?? [];
	const kept = known.filter(({key}) => (rates.get(key) ?? 0) >= limits.leaveRate).slice(0, limits.maxCount);
	const added = [...rates]
		.filter(([key, rate]) => rate >= limits.enterRate && !kept.some(exception => exception.key === key))
		.toSorted(([leftKey, leftRate], [rightKey, rightRate]) => rightRate - leftRate || (leftKey < rightKey ? -1 : 1))
		.slice(0, limits.maxCount - kept.length)
		.map(([key]) => ({key, owner: undefined}));
	return assignOwners([...kept, ...added], createBearerLoads(input, service), rates);
}

type WantedException = {
	readonly key: string;
	readonly owner: VmId | undefined;
};

// The load of a VM is here the rate of the hot keys that it owns, over its weight.
function assignOwners(wanted: readonly WantedException[], loads: readonly BearerLoad[], rates: ReadonlyMap<string, number>): readonly KeyException[] {
	const loadByVmId = new Map(loads.map(load => [load.vmId, load]));
	const owned = new Map<VmId, number>();
	const addRate = (vmId: VmId, key: string): void => {
		owned.set(vmId, (owned.get(vmId) ?? 0) + ((rates.get(key) ?? 0) / (loadByVmId.get(vmId)?.weight ?? 1)));
	};

	for (const {key, owner} of wanted) {
		if (owner !== undefined && loadByVmId.has(owner)) {
			addRate(owner, key);
		}
	}

	return wanted.flatMap(({key, owner}): readonly KeyException[] => {
		if (owner !== undefined && loadByVmId.has(owner)) {
			return [{key, owner}];
		}

		const [heir] = loads.toSorted((left, right) => (owned.get(left.vmId) ?? 0) - (owned.get(right.vmId) ?? 0));
		if (heir === undefined) {
			return [];
		}

		addRate(heir.vmId, key);
		return [{key, owner: heir.vmId}];
	});
}
