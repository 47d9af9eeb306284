import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {Fence, NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import type {GrantOrder} from './records.js';

/** A partition that a member gave back: nothing of it runs any more. */
export type Release = {
	readonly service: string;
	readonly partition: number;
	readonly fence: Fence;
};

/** What the node measures of its own backend server, for the controller's judgement of stragglers. */
export type LoadReport = {
	/** Requests finished since the last report. */
	readonly finished: number;
	/** Mean time from hand-over to answer, in milliseconds. */
	readonly meanLatencyMs: number;
	/** Whether the guard is still raising its limit after a cold start. */
	readonly cold: boolean;
	/** Partition that got the most requests since the last report, with its share, for hot keys. */
	readonly hottest?: {readonly service: string; readonly key: string; readonly share: number};
};

/** Member to controller: shows that it runs, renews its lease, and promises the epoch. */
export type Heartbeat = {
	readonly kind: 'heartbeat';
	/** The latest epoch that the member has agreed to; the promise is for this one. */
	readonly epoch: number;
	readonly sequence: number;
	/** Member's monotonic clock at sending, in milliseconds; echoed by the reply. */
	readonly sentAtMs: number;
	/** The controller's stamp of the last reply under this epoch: the promise counts from it. Absent before the first. */
	readonly promisedStampMs?: number;
	/** Version of the grant list that the member holds under this epoch; 0 for none. */
	readonly grantsVersion: number;
	readonly mapVersion: number;
	readonly configurationVersion: number;
	/** Repeated until the controller's grant list no longer names them. */
	readonly released: readonly Release[];
	/** Grows when the member's description changes. */
	readonly descriptionVersion: number;
	/** Present until the controller has acknowledged its version. */
	readonly description?: Member;
	readonly load?: LoadReport;
	/** Present when the last reply showed that the controller's configuration is older than the member's. */
	readonly configuration?: Configuration;
};

/** Controller to member: the lease, and what the member lacks. */
export type HeartbeatReply = {
	readonly kind: 'heartbeat-reply';
	readonly epoch: number;
	readonly sequence: number;
	/** Echo of the heartbeat. The lease counts from it, in the member's clock. */
	readonly sentAtMs: number;
	/** Controller's monotonic clock at sending; echoed by the next heartbeat. */
	readonly stampMs: number;
	/** 0: no lease is granted. */
	readonly leaseMs: number;
	/** How long the member promises the epoch, from when it receives the reply, in milliseconds. */
	readonly promiseMs: number;
	/** When to send the next heartbeat, in milliseconds. Grows with the size of the cell. */
	readonly heartbeatIntervalMs: number;
	readonly acknowledgedDescription: number;
	readonly grantsVersion: number;
	/** The whole grant list of the member, when the one it holds is older. */
	readonly grants?: readonly GrantOrder[];
	/** Present when the member's map is older. */
	readonly routing?: RoutingTable;
	readonly configurationVersion: number;
	/** Present when the member's configuration is older. */
	readonly configuration?: Configuration;
};

/** Candidate to member, after its compare-and-set of the lease row: asks to promise no older epoch any more. */
export type TakeoverRequest = {
	readonly kind: 'takeover-request';
	readonly epoch: number;
	readonly controller: NodeIdentity;
	readonly peerOrigin: string;
};

/** Member to candidate: agrees, and says how long its promise to an older epoch still lasts and what it holds. */
export type TakeoverAgreement = {
	readonly kind: 'takeover-agreement';
	readonly epoch: number;
	readonly remainingPromiseMs: number;
	/** What the member holds under the older epoch, so that activations of an outage are learned. */
	readonly held: readonly GrantOrder[];
	readonly mapVersion: number;
	readonly configurationVersion: number;
};

/** Controller to member: there is something new for it (grants, map or configuration); it sends a heartbeat at once. */
export type Notice = {
	readonly kind: 'notice';
	readonly epoch: number;
};

/** Says that a message was not acted on, and who the sender should turn to. */
export type Refusal = {
	readonly kind: 'refusal';
	readonly reason: 'older-epoch' | 'not-controller' | 'other-incarnation';
	readonly epoch: number;
	readonly controller?: {readonly node: NodeIdentity; readonly peerOrigin: string};
};

/** Any message between the nodes of a cell. All may be lost, repeated, late or out of order. */
export type CellMessage = Heartbeat | HeartbeatReply | TakeoverRequest | TakeoverAgreement | Notice | Refusal;
