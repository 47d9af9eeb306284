import {MemoryBudget} from '@buckthornpoint/admission/memory-budget.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import {defaultMaxDescriptors, defaultMemoryMb, type MeshSettings} from './settings.js';

/** Share of the VM's memory for bodies. A node uses about 125 MB without them, and the smallest VM has 250 MB. */
const budgetShare = 0.35;

/** The smaller meaning of a megabyte, since a process above the limit is killed. */
const bytesPerMegabyte = 1_000_000;

/** The largest body that the operator allows callers in any deployment. */
const largestBodyBytes = 67_108_864;

/** Descriptors of a process that are reserved for files. */
const fileDescriptors = 200;

/** Share of the other descriptors for connections of callers; the rest is for other nodes, the server and the store. */
const callerShare = 0.75;

/** Derives the limit for the connections of callers. */
export function deriveMaxConnections({maxDescriptors = defaultMaxDescriptors}: Pick<MeshSettings, 'maxDescriptors'>): number {
	return Math.max(1, Math.floor(callerShare * (maxDescriptors - fileDescriptors)));
}

/** Creates the memory for the bodies that a node holds for callers, other nodes and its server. */
export function createBodyMemory({memoryMb = defaultMemoryMb}: Pick<MeshSettings, 'memoryMb'>, clock: Clock): BodyMemory {
	const budget = new MemoryBudget({limitBytes: budgetShare * memoryMb * bytesPerMegabyte, largestBytes: largestBodyBytes});
	return new BodyMemory(budget, () => clock.readTimestamp().monotonicMs);
}
