import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {PartitionId} from '@buckthornpoint/types/identity.js';
import type {SimulatedCell} from './simulated-cell.js';

const defaultPartitionCount = 8;
const gapStepMs = 10;

/** A planned hand-over leaves a partition unserved for at most this long (recovery.test.ts asserts it), in milliseconds. */
const plannedMoveMs = 500;

/** Creates a configuration with one divided service. */
export function createConfiguration(partitionCount = defaultPartitionCount): Configuration {
	return {
		version: 1,
		services: [{
			name: 'stock', tenant: 'tenant', divided: true, partitionCount, maxConnections: 10, coldConcurrency: 2, rules: [],
		}],
		failureDomains: ['fd0', 'fd1', 'fd2'].map(name => ({name, out: false})),
		stoppingVms: [],
		deadVms: [],
	};
}

/** Lists the partitions that no node may serve now. */
export function findUnserved(cell: SimulatedCell): readonly PartitionId[] {
	const partitionCount = cell.configuration.services[0]?.partitionCount ?? 0;
	const partitions = Array.from({length: partitionCount}, (_, partition): PartitionId => ({service: 'stock', partition}));
	return partitions.filter(partition => ![...cell.runs.values()].some(node => node.isAlive && !node.isPaused && node.findGrantInForce(partition, cell.nowMs) !== undefined));
}

/**
 * Lists the partitions that nobody serves now and for a whole planned hand-over from now. The cell may just be moving
 * a partition back at the end: seed 703761 ends 10 ms after such a move began (trace: partitions-moved at 22.99 s).
 */
export function findUnservedForLong(cell: SimulatedCell): readonly PartitionId[] {
	let unserved = findUnserved(cell);
	for (let waitedMs = 0; waitedMs < plannedMoveMs && unserved.length > 0; waitedMs += gapStepMs) {
		cell.advance(gapStepMs);
		const now = new Set(findUnserved(cell).map(({partition}) => partition));
		unserved = unserved.filter(({partition}) => now.has(partition));
	}

	return unserved;
}

/** Starts nodes over three failure domains. */
export function startCell(cell: SimulatedCell, size: number): void {
	for (let index = 0; index < size; index++) {
		cell.startNode(`vm${String(index).padStart(2, '0')}`, `fd${index % 3}`);
	}
}

/** Lets time pass and returns the longest time for which a partition was not served, in virtual milliseconds. */
export function measureGap(cell: SimulatedCell, durationMs: number): number {
	const since = new Map<number, number>();
	let longestMs = 0;
	const endMs = cell.nowMs + durationMs;
	while (cell.nowMs < endMs) {
		const unserved = new Set(findUnserved(cell).map(({partition}) => partition));
		for (const partition of unserved) {
			since.set(partition, since.get(partition) ?? cell.nowMs);
			longestMs = Math.max(longestMs, cell.nowMs - since.get(partition)! + gapStepMs);
		}

		for (const partition of [...since.keys()].filter(other => !unserved.has(other))) {
			since.delete(partition);
		}

		cell.advance(gapStepMs);
	}

	return longestMs;
}
