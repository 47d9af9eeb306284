import {findPartition} from '@buckthornpoint/placement/partition-hash.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';

/** Header that names the key of a request. */
export const keyHeader = 'buckthornpoint-key';
/** Partitions of the measured service; each is watched by one key. */
export const partitionCount = 64;
/** Name of the cell that is measured. */
export const cellName = 'measured';

/** The configuration that is measured: one service, divided by key, whose look-ups are idempotent. */
export const configuration: Configuration = {
	version: 1,
	services: [{
		name: 'sklad',
		tenant: 'medoplech',
		divided: true,
		partitionCount,
		maxConnections: 110,
		coldConcurrency: 18,
		rules: [{
			method: 'GET', pathPrefix: '/', idempotent: true, requestClass: 'interactive', defaultDeadlineMs: 250,
		}],
	}],
	failureDomains: [],
	stoppingVms: [],
	deadVms: [],
};

/** Returns one key of each partition. */
export function listWatchedKeys(): readonly string[] {
	const keys = new Map<number, string>();
	for (let index = 0; keys.size < partitionCount; index++) {
		const key = `lot-${index}`;
		const partition = findPartition(key, partitionCount);
		if (!keys.has(partition)) {
			keys.set(partition, key);
		}
	}

	return [...keys.values()];
}
