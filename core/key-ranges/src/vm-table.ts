import type {VmState} from './controller-state.js';
import {DirectoryLog, type DirectoryReply, type DirectorySnapshot} from './directory-log.js';
import {isLaterInstance, type BackendInstanceKey} from './key-ranges.js';
import {LeavingInstances} from './leaving-instances.js';
import type {DirectoryEntry, MemberHeartbeat} from './messages.js';

/** Initial state, inherited from the previous controller. */
export type VmTableStart = {
	readonly epoch: number;
	readonly leavingInstances?: LeavingInstances | undefined;
	readonly directory?: DirectorySnapshot | undefined;
};

/** The VMs that sent heartbeats to a controller, and the backend server instances that are known to have ended. */
export class VmTable {
	readonly #vms = new Map<string, VmState>();
	readonly #byBackend = new Map<BackendInstanceKey, VmState>();
	readonly #replacedIncarnations = new Set<string>();
	readonly #ended = new Set<BackendInstanceKey>();
	readonly #leavingInstances: LeavingInstances;
	readonly #directory: DirectoryLog;

	constructor({epoch, leavingInstances: left, directory}: VmTableStart) {
		this.#leavingInstances = new LeavingInstances(left);
		this.#directory = new DirectoryLog(epoch, directory);
	}

	get size(): number {
		return this.#vms.size;
	}

	listVmIds(): readonly string[] {
		return [...this.#vms.keys()];
	}

	/** Returns whether a heartbeat is from a node process that was replaced by another on its VM. Start times can't order the processes, since clocks may be set back. */
	isOutdated({vmId, incarnation}: MemberHeartbeat): boolean {
		const known = this.#vms.get(vmId);
		if (known !== undefined && known.incarnation !== incarnation) {
			if (this.#replacedIncarnations.has(incarnation)) {
				return true;
			}

			this.#replacedIncarnations.add(known.incarnation);
		}

		return false;
	}

	/** Records a heartbeat. Returns the backend server instances that it proves to have ended. */
	recordHeartbeat(heartbeat: MemberHeartbeat, nowMs: number): readonly BackendInstanceKey[] {
		const known = this.#vms.get(heartbeat.vmId);
		const {backend} = heartbeat;
		const ended = [...heartbeat.ended];
		if (backend !== undefined) {
			if (known?.backend !== undefined && isLaterInstance(backend.key, known.backend.key)) {
				ended.push(known.backend.key);
			}

			if (!heartbeat.ended.includes(backend.key)) {
				// The instance registered again after connections to its address had been refused.
				this.#ended.delete(backend.key);
			}
		}

		for (const key of ended) {
			this.#ended.add(key);
		}

		for (const key of heartbeat.leaving ?? []) {
			this.#leavingInstances.record(heartbeat.vmId, key);
		}

		if (backend !== undefined && backend.state !== 'ready') {
			this.#leavingInstances.record(heartbeat.vmId, backend.key);
		}

		const next: VmState = {
			vmId: heartbeat.vmId,
			incarnation: heartbeat.incarnation,
			address: heartbeat.address,
			failureDomain: heartbeat.failureDomain,
			isStopping: heartbeat.isStopping,
			lastHeartbeatMs: nowMs,
			...(backend !== undefined && {backend}),
		};
		this.#vms.set(heartbeat.vmId, next);
		this.#removeBackend(known);
		if (backend !== undefined) {
			this.#byBackend.set(backend.key, next);
		}

		this.#directory.record(createEntry(next));
		return ended;
	}

	recordEnded(key: BackendInstanceKey): void {
		this.#ended.add(key);
	}

	isEnded(key: BackendInstanceKey): boolean {
		return this.#ended.has(key);
	}

	/** Returns the VM of a backend server instance, if a heartbeat reported it. */
	findByBackend(key: BackendInstanceKey): VmState | undefined {
		return this.#byBackend.get(key);
	}

	/** Lists the VMs whose backend server belongs to a service and is not known to have ended. */
	listByService(service: string): readonly VmState[] {
		return [...this.#vms.values()].filter(({backend}) => backend?.service === service && !this.#ended.has(backend.key));
	}

	/** Lists the leaving backend server instances on a VM, latest last. */
	listLeaving(vmId: string): readonly BackendInstanceKey[] {
		return this.#leavingInstances.list(vmId);
	}

	/** Creates the update for a node with the given directory version. `isComplete` is whether all nodes have had time to send a heartbeat. */
	createDirectoryReply(known: string, isComplete: boolean): DirectoryReply {
		return this.#directory.createReply(known, isComplete);
	}

	/** Removes VMs without recent heartbeats and returns their ids. */
	removeSilent(nowMs: number, retentionMs: number): readonly string[] {
		const silent = [...this.#vms.values()].filter(vm => nowMs - vm.lastHeartbeatMs > retentionMs);
		for (const vm of silent) {
			const {vmId} = vm;
			this.#vms.delete(vmId);
			this.#removeBackend(vm);
			this.#leavingInstances.remove(vmId);
			this.#directory.remove(vmId);
		}

		return silent.map(({vmId}) => vmId);
	}

	#removeBackend(vm: VmState | undefined): void {
		const key = vm?.backend?.key;
		if (key !== undefined && this.#byBackend.get(key)?.vmId === vm?.vmId) {
			this.#byBackend.delete(key);
		}
	}
}

function createEntry(vm: VmState): DirectoryEntry {
	const {backend} = vm;
	return {
		vmId: vm.vmId,
		address: vm.address,
		failureDomain: vm.failureDomain,
		isStopping: vm.isStopping,
		...(backend !== undefined && {
			backend: {
				key: backend.key, service: backend.service, state: backend.state, slots: backend.slots, isCold: backend.isCold,
			},
		}),
	};
}
