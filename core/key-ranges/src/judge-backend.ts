import type {BackendView, VmState} from './controller-state.js';

/** The operator's configuration as far as the ownership of ranges depends on it. */
export type ServiceRules = {
	readonly dividedServices: ReadonlySet<string>;
	readonly evacuatedDomains: ReadonlySet<string>;
};

/** Time without a heartbeat after which a VM or its backend server receives no new ranges. */
export type SilenceOpts = {
	readonly silentMs: number;
	readonly backendSilentMs: number;
};

/** Classifies the backend server of a VM for planning. Returns undefined if none has registered. */
export function classifyBackend(vm: VmState, rules: ServiceRules, opts: SilenceOpts & {readonly nowMs: number}): BackendView | undefined {
	const {backend} = vm;
	if (backend === undefined) {
		return undefined;
	}

	const mustDrain = backend.state !== 'ready' || backend.silentMs >= opts.backendSilentMs || rules.evacuatedDomains.has(vm.failureDomain);
	return {
		key: backend.key,
		vmId: vm.vmId,
		isEligible: !mustDrain && !vm.isStopping && opts.nowMs - vm.lastHeartbeatMs < opts.silentMs,
		mustDrain,
		isCold: backend.isCold,
		demand: backend.demand,
		requestsPerSecond: backend.perS,
		slots: backend.slots,
		rangeLoads: backend.rangeLoads,
	};
}
