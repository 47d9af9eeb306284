import type {BackendView, VmState} from './controller-state.js';

/** The operator's configuration as far as the ownership of ranges depends on it. */
export type OwnershipRules = {
	readonly partitionedServices: ReadonlySet<string>;
	readonly evacuatedDomains: ReadonlySet<string>;
};

/** Rules of a node that does not know the operator's configuration: it may recover maps and change nothing else. */
export const noOwnershipRules: OwnershipRules = {partitionedServices: new Set(), evacuatedDomains: new Set()};

/** Time without a heartbeat after which a VM or its backend server receives no new ranges. */
export type SilenceTimeouts = {
	readonly vmSilenceMs: number;
	readonly backendSilenceMs: number;
};

/** Classifies the backend server of a VM for planning. Returns undefined if none has registered. */
export function classifyBackend(vm: VmState, rules: OwnershipRules, opts: SilenceTimeouts & {readonly nowMs: number}): BackendView | undefined {
	const {backend} = vm;
	if (backend === undefined) {
		return undefined;
	}

	const mustDrain = backend.state !== 'ready' || backend.silentMs >= opts.backendSilenceMs || rules.evacuatedDomains.has(vm.failureDomain);
	return {
		key: backend.key,
		vmId: vm.vmId,
		isEligible: !mustDrain && !vm.isStopping && opts.nowMs - vm.lastHeartbeatMs < opts.vmSilenceMs,
		mustDrain,
		isCold: backend.isCold,
		demand: backend.demand,
		requestsPerSecond: backend.perS,
		capacityPerS: backend.capacityPerS,
		ratePerS: backend.ratePerS,
		slots: backend.slots,
		rangeLoads: backend.rangeLoads,
	};
}
