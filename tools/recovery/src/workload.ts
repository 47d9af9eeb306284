import {findPartition} from '@buckthornpoint/placement/partition-hash.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';

export const keyHeader = 'buckthornpoint-key';
/** Partitions of the measured service; each is monitored through one key. */
export const partitionCount = 64;
export const cellName = 'measured';

/** The measured configuration: one service, partitioned by key, whose GET requests are idempotent. */
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
export function listProbeKeys(): readonly string[] {
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
