import type {BackendInstanceKey} from './key-ranges.js';

/** Limit of recorded instances per VM. One instance leaves at a time, and delayed heartbeats of it arrive only seconds later. */
export const maxInstancesPerVm = 4;

/**
 * The backend server instances that reported that they are leaving, by VM. A restarted node process receives the list,
 * because a delayed heartbeat may still report such an instance as ready.
 */
export class LeavingInstances {
	readonly #byVm: Map<string, readonly BackendInstanceKey[]>;

	/** Starts with a copy of the records of `known`. */
	constructor(known?: LeavingInstances) {
		this.#byVm = new Map(known?.listAll());
	}

	record(vmId: string, key: BackendInstanceKey): void {
		const instances = this.list(vmId);
		if (!instances.includes(key)) {
			this.#byVm.set(vmId, [...instances, key].slice(-maxInstancesPerVm));
		}
	}

	/** Lists the leaving instances of a VM, latest last. */
	list(vmId: string): readonly BackendInstanceKey[] {
		return this.#byVm.get(vmId) ?? [];
	}

	listAll(): ReadonlyArray<readonly [vmId: string, instances: readonly BackendInstanceKey[]]> {
		return [...this.#byVm];
	}

	/** Removes the records of a VM that is gone. */
	remove(vmId: string): void {
		this.#byVm.delete(vmId);
	}
}
