import {
	compareFences, formatFence, formatPartitionId, isSameNode, type Fence, type PartitionId,
} from '@buckthornpoint/types/identity.js';
import type {Predecessor} from '../src/ownership-view.js';
import type {CellRecord} from '../src/records.js';
import type {SimulatedNode} from './simulated-node.js';

const inFlightAllowanceMs = 100;

/** Checks the invariants of a cell after each step. Throws at the first violation. */
export class InvariantChecker {
	readonly #instances: SimulatedNode[] = [];
	readonly #fences = new Map<string, {readonly fence: Fence; readonly instance: SimulatedNode}>();
	#storedCell: CellRecord | undefined;

	/**
	 * Adds a node instance. Its grants are checked even after it has ended, because requests that it handed over may
	 * still run.
	 */
	addInstance(instance: SimulatedNode): void {
		this.#instances.push(instance);
	}

	/** Checks a node instance after a step that may have changed its grants. */
	checkInstance(instance: SimulatedNode, trueMs: number): void {
		for (const {partition, predecessor} of instance.view.grants.values()) {
			this.#checkPredecessor(instance, partition, predecessor);
			const grant = instance.findActiveGrant(partition, trueMs);
			if (grant !== undefined) {
				this.#checkSoleOwner(instance, partition, trueMs);
				this.#checkFence(instance, partition, grant.fence);
			}
		}
	}

	/** Checks that epoch and map version in the store never decrease, and that no version has two maps. */
	checkStored(cell: CellRecord | undefined): void {
		const known = this.#storedCell;
		if (known !== undefined && (cell === undefined || cell.epoch < known.epoch || cell.map.version < known.map.version)) {
			throw new Error(`the version of the stored map decreased from ${known.map.version}`);
		}

		if (known?.map.version === cell?.map.version && JSON.stringify(cell?.map) !== JSON.stringify(known?.map)) {
			throw new Error(`two maps have version ${known?.map.version}`);
		}

		this.#storedCell = cell;
	}

	/** Checks that the configuration version of a node always increases. */
	checkConfiguration(instance: SimulatedNode, version: number): void {
		if (version <= instance.configurationVersion) {
			throw new Error(`${instance.identity.vmId}: the configuration version decreased from ${instance.configurationVersion} to ${version}`);
		}
	}

	#checkSoleOwner(instance: SimulatedNode, partition: PartitionId, trueMs: number): void {
		for (const other of this.#instances) {
			if (other !== instance && other.mayRun(partition, trueMs - inFlightAllowanceMs)) {
				throw new Error(`two owners of ${formatPartitionId(partition)}: ${instance.identity.incarnation} and ${other.identity.incarnation}`);
			}
		}
	}

	/** A node that is named as its own predecessor could query no other node for the outcomes of earlier requests. */
	#checkPredecessor(instance: SimulatedNode, partition: PartitionId, predecessor: Predecessor | undefined): void {
		if (predecessor?.released && isSameNode(predecessor.node, instance.identity)) {
			throw new Error(`${instance.identity.incarnation} is named as its own predecessor: it owned ${formatPartitionId(partition)} before`);
		}
	}

	#checkFence(instance: SimulatedNode, partition: PartitionId, fence: Fence): void {
		const id = formatPartitionId(partition);
		const known = this.#fences.get(id);
		const order = known === undefined ? 1 : compareFences(fence, known.fence);
		if (order < 0 || (order === 0 && known!.instance !== instance)) {
			throw new Error(`fence of ${id} went from ${formatFence(known!.fence)} of ${known!.instance.identity.incarnation} to ${formatFence(fence)} of ${instance.identity.incarnation}`);
		}

		this.#fences.set(id, {fence, instance});
	}
}
