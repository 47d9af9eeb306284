import type {AccountReport, AccountSharesUpdate} from '@buckthornpoint/accounts/account-messages.js';
import type {
	BackendInstanceKey, GrantedRange, HeldRange, KeyRange, ReleasedRange,
} from './key-ranges.js';
import type {RangeMapUpdate} from './range-map-record.js';

/** Whether a backend server accepts requests. */
export type BackendState = 'ready' | 'draining' | 'gone';

/** Recent request rate of a range, as counted by its node. */
export type RangeLoad = KeyRange & {
	/** Requests per second. */
	readonly perS: number;
	/** The key that splits the range into two halves of equal load: the first key of the upper half. */
	readonly middleKey: number;
};

/** A position in the changes of the store. Eras come first: versions are given out again when the store returns from an older copy. */
export type StorePosition = {
	readonly era: number;
	readonly version: number;
};

/** Returns whether a position is older than another. */
export function isOlderPosition(position: StorePosition, other: StorePosition): boolean {
	return position.era < other.era || (position.era === other.era && position.version < other.version);
}

/** A node's report on the local backend server. */
export type BackendReport = {
	readonly key: BackendInstanceKey;
	readonly id: string;
	readonly service: string;
	readonly state: BackendState;
	readonly slots: number;
	/** Whether it is still warming up after its start. */
	readonly isCold: boolean;
	/** Milliseconds since its last heartbeat. */
	readonly silentMs: number;
	/** Offered load as a share of what it can serve; above 1 it is overloaded. */
	readonly demand: number;
	/** Requests offered per second over all its ranges. */
	readonly perS: number;
	/** Requests per second that it can serve, by its service time and the limit that it advertises. Nodes of earlier versions don't report it. */
	readonly capacityPerS?: number;
	/** The same at its usual speed, without its present slowness; absent until it is measured, and from nodes that don't balance by rate. */
	readonly ratePerS?: number;
	/** Its busiest ranges; empty at low load. */
	readonly rangeLoads: readonly RangeLoad[];
	/** Version of the assignment that the node last accepted from a controller. */
	readonly assignmentVersion: string;
	/** Ranges outside that assignment that the server may still hold. */
	readonly stillHeld: readonly KeyRange[];
	/** Ranges that the server released recently, with their handover data. */
	readonly released: readonly ReleasedRange[];
	/** Ranges that the server may hold, if the controller requested them. */
	readonly held?: readonly HeldRange[];
};

/** Sent by each node to the controller twice a second, and immediately after a change. */
export type MemberHeartbeat = {
	readonly vmId: string;
	/** Generated when the node process starts. */
	readonly incarnation: string;
	readonly address: string;
	readonly failureDomain: string;
	/** The service whose requests originate on this VM. */
	readonly service: string;
	/** The highest controller epoch that the node has received. */
	readonly epoch: number;
	/** The latest token of the controller with this epoch. Nodes of earlier versions don't return it. */
	readonly token?: number;
	/** Lower bound of the time since the node process accepted a reply of a controller with a lower epoch. Missing if it never did. */
	readonly earlierReplyAgeMs?: number;
	readonly isStopping: boolean;
	readonly routesVersion: number;
	/** Store version up to which the node has read the operator's orders. */
	readonly ordersVersion: number;
	/** Era of the store in which `ordersVersion` was read. Nodes of earlier versions don't report it. */
	readonly ordersEra?: number;
	readonly directoryVersion: string;
	readonly mapVersions: Readonly<Record<string, number>>;
	readonly backend?: BackendReport;
	/** Backend server instances on this VM that are known to have ended. */
	readonly ended: readonly BackendInstanceKey[];
	/** Backend server instances on this VM that are known to be leaving, latest last. Nodes of earlier versions don't report them. */
	readonly leaving?: readonly BackendInstanceKey[];
	/** Load of the accounts with rate limits. Absent without such accounts, and from nodes of earlier versions. */
	readonly accountLoads?: AccountReport;
};

/** A node as listed for the other nodes. */
export type DirectoryEntry = {
	readonly vmId: string;
	readonly address: string;
	readonly failureDomain: string;
	readonly isStopping: boolean;
	readonly backend?: {
		readonly key: BackendInstanceKey;
		readonly service: string;
		readonly state: BackendState;
		readonly slots: number;
		readonly isCold: boolean;
	};
};

/** The failure domains that the operator is evacuating, as of a store version. */
export type EvacuationOrders = {
	readonly version: number;
	/** Era of the store in which `version` was read. Nodes of earlier versions don't report it. */
	readonly era?: number;
	readonly domains: readonly string[];
};

/** The controller's reply to a heartbeat. Fields whose current value the node already has are left out. */
export type HeartbeatReply = {
	readonly epoch: number;
	/** The controller's time of the reply, returned in the next heartbeats (`MemberVouchers`). Controllers of earlier versions send none. */
	readonly token?: number;
	/** Whether the controller requests the ranges that the node's server holds. It grants no lease until it has them. */
	readonly mustReportHeld?: boolean;
	/** How long the node may grant the ranges of its assignment, counted from when it sent the heartbeat. 0: not at all. */
	readonly leaseMs: number;
	readonly assignmentVersion: string;
	readonly assignment?: readonly GrantedRange[];
	readonly directoryVersion: string;
	readonly directory?: readonly DirectoryEntry[];
	/** VMs removed from the directory. If present, `directory` contains only the entries changed since the node's version. */
	readonly directoryRemoved?: readonly string[];
	/** Whether every node has had time to send a heartbeat. Until then the directory only adds to the node's earlier one. */
	readonly isDirectoryComplete: boolean;
	readonly maps?: readonly RangeMapUpdate[];
	/** The controller's version of the operator's routes, if newer than the node's. */
	readonly routesVersion?: number;
	/** The failure domains that the operator is evacuating, if the controller has later orders than the node. */
	readonly evacuation?: EvacuationOrders;
	/** Evacuations known from an earlier era of the store that it lacks since it returned from an older copy. */
	readonly retainedEvacuations?: ReadonlyArray<{readonly domain: string; readonly remainingMs: number}>;
	/** Leaving backend server instances on the node's VM, as reported by any process of the node. */
	readonly left?: readonly BackendInstanceKey[];
	/** The node's shares of the rate limits of accounts. Absent if the controller may not grant any. */
	readonly accountShares?: AccountSharesUpdate;
	/** Whether the controller reached the store recently. If not, members read the store more often themselves and search for another controller. */
	readonly isStoreReached: boolean;
};

/** Creates a reply that grants no lease. */
export function createReplyWithoutLease(epoch: number): HeartbeatReply {
	return {
		epoch, leaseMs: 0, assignmentVersion: '', directoryVersion: '', isDirectoryComplete: false, isStoreReached: true,
	};
}
