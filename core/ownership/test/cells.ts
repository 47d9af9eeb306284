import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {PartitionId} from '@buckthornpoint/types/identity.js';
import type {SimulatedCell} from './simulated-cell.js';

const partitionCount = 8;

/** Creates a configuration with one divided service. */
export function createConfiguration(): Configuration {
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
	const partitions = Array.from({length: partitionCount}, (_, partition): PartitionId => ({service: 'stock', partition}));
	return partitions.filter(partition => ![...cell.runs.values()].some(node => node.isAlive && !node.isPaused && node.findGrantInForce(partition, cell.nowMs) !== undefined));
}

/** Starts nodes over three failure domains. */
export function startCell(cell: SimulatedCell, size: number): void {
	for (let index = 0; index < size; index++) {
		cell.startNode(`vm${String(index).padStart(2, '0')}`, `fd${index % 3}`);
	}
}
