import type {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import type {RegisteredBackend} from '@buckthornpoint/backend-link/backend-registration.js';
import type {BackendReport} from '@buckthornpoint/key-ranges/messages.js';
import type {RangeMember} from '@buckthornpoint/key-ranges/range-member.js';

/** Demand, as a share of what the server can serve, below which the load of a server's ranges is not reported: its keys are then not moved because of load. */
const minReportedDemand = 0.3;

/** Sources of a report. */
export type BackendReportParts = {
	readonly gate: BackendGate | undefined;
	readonly member: RangeMember;
	/** The node's clock. */
	readonly nowMs: number;
	/** The clock of leases. */
	readonly leaseNowMs: number;
	/** Whether the server may hold keys. */
	readonly mayBePartitioned: boolean;
	readonly isByRate: boolean;
};

/** Creates the report on the local backend server for a heartbeat to the controller. */
export function createBackendReport(backend: RegisteredBackend, {
	gate, member, nowMs, leaseNowMs, mayBePartitioned, isByRate,
}: BackendReportParts): BackendReport {
	const demand = gate?.readDemand() ?? 0;
	const usualRatePerS = gate?.readUsualRatePerS();
	return {
		key: backend.key,
		id: backend.id,
		service: backend.service,
		state: backend.state,
		slots: backend.slots,
		isCold: nowMs < backend.coldUntilMs,
		silentMs: Math.round(nowMs - backend.lastHeartbeatMs),
		demand: Math.round(demand * 100) / 100,
		perS: Math.round((gate?.readOfferedRequestsPerSecond() ?? 0) * 10) / 10,
		...(gate !== undefined && {capacityPerS: Math.round(gate.readCapacityPerS() * 10) / 10}),
		...(isByRate && usualRatePerS !== undefined && {ratePerS: Math.round(usualRatePerS * 10) / 10}),
		rangeLoads: mayBePartitioned && demand >= minReportedDemand ? gate?.listRangeLoads(member.listAssigned(), isByRate) ?? [] : [],
		assignmentVersion: member.assignmentVersion,
		stillHeld: mayBePartitioned ? member.listStillHeld(leaseNowMs) : [],
		released: member.listReleased(leaseNowMs),
		...(member.mustReportHeld && {held: mayBePartitioned ? member.listHeld(leaseNowMs) : []}),
	};
}
