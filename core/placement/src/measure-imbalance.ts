import type {ServicePlacement} from '@buckthornpoint/types/membership.js';

/** Returns the ratio of the largest number of partitions on a VM to the mean over the VMs that own any; 1 if none does. */
export function measureImbalance({owners}: ServicePlacement): number {
	const counts = new Map<number, number>();
	for (const owner of owners) {
		if (owner >= 0) {
			counts.set(owner, (counts.get(owner) ?? 0) + 1);
		}
	}

	const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
	return counts.size === 0 ? 1 : Math.max(...counts.values()) * counts.size / total;
}
