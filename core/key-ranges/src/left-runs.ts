import type {BackendKey} from './key-ranges.js';

/** Runs of one VM that are remembered: one leaves at a time, and a late heartbeat comes seconds later. */
const maxRuns = 4;

/**
 * The runs of backend servers that said that they leave, by VM. A process that is started again is told of them, because
 * a late heartbeat may call such a run ready.
 */
export class LeftRuns {
	readonly #byVm: Map<string, readonly BackendKey[]>;

	/** Begins with what another one knows. */
	constructor(known?: LeftRuns) {
		this.#byVm = new Map(known?.listAll());
	}

	note(vmId: string, key: BackendKey): void {
		const runs = this.list(vmId);
		if (!runs.includes(key)) {
			this.#byVm.set(vmId, [...runs, key].slice(-maxRuns));
		}
	}

	/** Lists the runs of a VM, latest last. */
	list(vmId: string): readonly BackendKey[] {
		return this.#byVm.get(vmId) ?? [];
	}

	listAll(): ReadonlyArray<readonly [vmId: string, runs: readonly BackendKey[]]> {
		return [...this.#byVm];
	}

	/** Forgets a VM that is gone. */
	remove(vmId: string): void {
		this.#byVm.delete(vmId);
	}
}
