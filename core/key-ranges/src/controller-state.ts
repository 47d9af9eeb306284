import type {BackendInstanceKey, KeyRange} from './key-ranges.js';
import type {BackendReport} from './messages.js';
import type {RangeMap} from './range-map.js';

/** State of a VM as reported by its latest heartbeat. */
export type VmState = {
	readonly vmId: string;
	readonly incarnation: string;
	readonly address: string;
	readonly failureDomain: string;
	readonly isStopping: boolean;
	readonly lastHeartbeatMs: number;
	readonly backend?: BackendReport;
};

/** A move in progress: the range has been withdrawn from its owner's assignment, and the owner has yet to release it. */
export type PlannedMove = KeyRange & {
	readonly service: string;
	readonly owner: BackendInstanceKey;
	readonly target: BackendInstanceKey;
	readonly startedMs: number;
};

/** How load is divided among servers: by demand in small steps, or by the measured rate of each server. */
export type Balance = 'usual' | 'by-rate';

/** Input for planning the moves of a service. */
export type ServiceView = {
	readonly map: RangeMap;
	readonly backends: readonly BackendView[];
	readonly moves: readonly PlannedMove[];
	/** When a move of the service was last in progress. Load reports reflect a move only after a delay. */
	readonly lastMoveMs: number;
	/** The usual one if undefined. */
	readonly balance?: Balance | undefined;
};

/** A backend server as input for planning. */
export type BackendView = {
	readonly key: BackendInstanceKey;
	readonly vmId: string;
	/** Whether it may receive ranges. */
	readonly isEligible: boolean;
	/** Whether all of its ranges must move to other backend servers. */
	readonly mustDrain: boolean;
	readonly isCold: boolean;
	readonly demand: number;
	/** Requests offered per second over all its ranges. */
	readonly requestsPerSecond: number;
	/** Requests per second that it can serve; undefined if its node does not report it. */
	readonly capacityPerS?: number | undefined;
	/** Requests per second that it can serve at its usual speed; undefined if it is not measured. */
	readonly ratePerS?: number | undefined;
	readonly slots: number;
	readonly rangeLoads: BackendReport['rangeLoads'];
};
