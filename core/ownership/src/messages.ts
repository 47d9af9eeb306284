import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {Fence, NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import type {GrantOrder} from './records.js';

/** A partition that a member has released: none of its requests is running any more. */
export type Release = {
	readonly service: string;
	readonly partition: number;
	readonly fence: Fence;
};

/** Measurements of the node's local backend server, by which the controller detects stragglers. */
export type LoadReport = {
	/** Requests finished since the last report. */
	readonly finished: number;
	/** Mean time from handing a request to the backend server until its response arrives. */
	readonly meanLatencyMs: number;
	/** Whether the node's concurrency limit is still rising after a cold start of the backend server. */
	readonly cold: boolean;
	/** Key that got the most requests since the last report, with its share of them. */
	readonly hottest?: {readonly service: string; readonly key: string; readonly share: number};
};

/** Member to controller: reports that the member is running, requests renewal of its lease, and promises the epoch. */
export type Heartbeat = {
	readonly kind: 'heartbeat';
	/** The latest epoch that the member has agreed to; its promise is for this one. */
	readonly epoch: number;
	readonly sequence: number;
	/** The member's monotonic clock at sending; echoed by the reply. */
	readonly sentAtMs: number;
	/** `stampMs` of the latest reply under this epoch, from which the promise counts. Absent before the first reply. */
	readonly promisedStampMs?: number;
	/** Version of the grant list that the member holds under this epoch; 0 for none. */
	readonly grantsVersion: number;
	readonly mapVersion: number;
	readonly configurationVersion: number;
	/** Repeated until the controller's grant list no longer contains these grants. */
	readonly released: readonly Release[];
	/** Incremented when the member's description changes. */
	readonly descriptionVersion: number;
	/** Present until the controller has acknowledged its version. */
	readonly description?: Member;
	readonly load?: LoadReport;
	/** Present when the last reply showed that the controller's configuration is older than the member's. */
	readonly configuration?: Configuration;
};

/** Controller to member: the lease, and the state that the member does not have yet. */
export type HeartbeatReply = {
	readonly kind: 'heartbeat-reply';
	readonly epoch: number;
	readonly sequence: number;
	/** `sentAtMs` of the heartbeat. The lease counts from it, on the member's clock. */
	readonly sentAtMs: number;
	/** The controller's monotonic clock at sending; echoed by the next heartbeat. */
	readonly stampMs: number;
	/** 0 when no lease is granted. */
	readonly leaseMs: number;
	/** How long the member promises the epoch, counted from when it receives the reply. */
	readonly promiseMs: number;
	/** Interval until the member's next heartbeat. Grows with the size of the cell. */
	readonly heartbeatIntervalMs: number;
	readonly acknowledgedDescription: number;
	readonly grantsVersion: number;
	/** The complete grant list of the member; present when the member's list is older. */
	readonly grants?: readonly GrantOrder[];
	/** Present when the member's map is older. */
	readonly routing?: RoutingTable;
	readonly configurationVersion: number;
	/** Present when the member's configuration is older. */
	readonly configuration?: Configuration;
};

/**
 * Candidate to member, after its compare-and-set of the lease row: requests that the member make no more promises for
 * older epochs.
 */
export type TakeoverRequest = {
	readonly kind: 'takeover-request';
	readonly epoch: number;
	readonly controller: NodeIdentity;
	readonly peerOrigin: string;
};

/** Member to candidate: agrees, and reports how long its promise for an older epoch still lasts and which grants it holds. */
export type TakeoverAgreement = {
	readonly kind: 'takeover-agreement';
	readonly epoch: number;
	readonly remainingPromiseMs: number;
	/** Grants that the member holds under the older epoch; they include assignments made during a store outage. */
	readonly held: readonly GrantOrder[];
	readonly mapVersion: number;
	readonly configurationVersion: number;
};

/** Controller to member: newer grants or a newer map are available. The member sends a heartbeat at once to receive them. */
export type Notice = {
	readonly kind: 'notice';
	readonly epoch: number;
};

/** Answers a message that was not acted on, and names the controller that the sender should contact instead, when known. */
export type Refusal = {
	readonly kind: 'refusal';
	readonly reason: 'older-epoch' | 'not-controller' | 'other-incarnation';
	readonly epoch: number;
	readonly controller?: {readonly node: NodeIdentity; readonly peerOrigin: string};
};

/** Any message between the nodes of a cell. Messages may be lost, duplicated, delayed or reordered. */
export type CellMessage = Heartbeat | HeartbeatReply | TakeoverRequest | TakeoverAgreement | Notice | Refusal;
