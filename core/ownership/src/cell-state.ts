import type {Timestamp} from '@buckthornpoint/clock/clock.js';
import {type Configuration, emptyConfiguration} from '@buckthornpoint/types/configuration.js';
import type {Fence, NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {CellMap, Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import type {CellMachineOpts} from './cell-machine.js';
import type {LoadReport, Release, TakeoverAgreement} from './messages.js';
import type {Grant, OwnershipView} from './ownership-view.js';
import type {
	CellRows, CellWrite, GrantOrder, LeaseRecord,
} from './records.js';
import type {CellTiming} from './timing.js';

/** The node that a member regards as the controller. */
export type ControllerContact = {
	readonly node: NodeIdentity;
	readonly peerOrigin: string;
};

/** State of a node as a member of its cell. Times whose names end in `AtMs` are on the monotonic clock. */
export type MemberState = {
	description: Member;
	descriptionVersion: number;
	acknowledgedDescription: number;
	/** The latest epoch that the member agreed to; it makes no promise for an older one. */
	agreedEpoch: number;
	contact: ControllerContact | undefined;
	sequence: number;
	/** Send times of the latest heartbeats, by sequence number. */
	readonly sent: Map<number, Timestamp>;
	awaitedSequence: number | undefined;
	missedReplies: number;
	nextHeartbeatAtMs: number;
	heartbeatIntervalMs: number;
	promisedStampMs: number | undefined;
	/** End of the promise for `agreedEpoch`. */
	promiseEndAtMs: number;
	/** End of the longest promise for any older epoch. */
	olderPromiseEndAtMs: number;
	leaseEnd: Timestamp | undefined;
	grantsEpoch: number;
	grantsVersion: number;
	grants: Map<string, Grant>;
	released: readonly Release[];
	/** The last grant of each partition that this member has released, by `formatPartitionId`. */
	readonly lastReleased: Map<string, Grant>;
	routing: RoutingTable | undefined;
	load: LoadReport | undefined;
	/** Version of the controller's configuration as of its last reply. */
	controllerConfigurationVersion: number;
	stopping: boolean;
	stopped: boolean;
};

/** State of a node that gets no answers from a controller and therefore watches the lease row. */
export type CandidateState = {
	readOperationId: number | undefined;
	nextReadAtMs: number;
	/** The rows as last read. */
	rows: CellRows | undefined;
	/** When this version of the lease row was first read. */
	firstSeenAtMs: number;
	takeover: TakeoverWrite | undefined;
};

/** A compare-and-set by which a candidate takes the controller lease. */
export type TakeoverWrite = {
	readonly operationId: number;
	readonly write: CellWrite;
	readonly sentAt: Timestamp;
	readonly rows: CellRows;
	readonly firstSeenAtMs: number;
};

/** The controller's state for one instance of a node. */
export type Session = {
	readonly node: NodeIdentity;
	description: Member | undefined;
	descriptionVersion: number;
	lastReceivedAtMs: number;
	/** From this time on the node's lease has certainly ended. */
	leaseEndAtMs: number;
	/** End of the node's promise for the controller's epoch. */
	promisedUntil: Timestamp | undefined;
	stamps: readonly Timestamp[];
	lost: boolean;
	/** Whether another instance of the node has replaced it. */
	superseded: boolean;
	orders: readonly GrantOrder[];
	grantsVersion: number;
	/** Version of the grant list that the member reported to hold. */
	confirmedGrantsVersion: number;
	/** The latest versions that the node was notified of. */
	notifiedGrantsVersion: number;
	notifiedMapVersion: number;
	configurationVersion: number;
	mapVersion: number;
	load: LoadReport | undefined;
	weight: number;
	slowReports: number;
};

/** A node that was granted a partition and may still act as its owner. */
export type Holder = {
	readonly node: NodeIdentity;
	readonly fence: Fence;
	readonly predecessor: GrantOrder['predecessor'];
	readonly release: boolean;
};

/** The inputs that a cell row is planned from. */
export type PlanBasis = {
	readonly configurationVersion: number;
	readonly members: readonly Member[];
	readonly eligibleVms: ReadonlySet<string>;
	readonly weights: ReadonlyMap<string, number>;
};

/** A write whose outcome is not known yet. */
export type PendingWrite = {
	readonly operationId: number;
	readonly write: CellWrite;
	readonly sentAt: Timestamp;
	/** The inputs of the plan for the cell row; undefined when the write contains none. */
	readonly basis: PlanBasis | undefined;
};

/** State of a node that is the controller of its cell or is taking over. */
export type ControllerState = {
	readonly epoch: number;
	/** A controller in the phase `resigning` or `resigned` never grants anything again. */
	phase: 'waiting' | 'active' | 'resigning' | 'resigned';
	/** When a stopping controller that still may not resign gives up waiting and stops without resigning. */
	resignDeadlineAtMs: number | undefined;
	/** Whether the previous controller had resigned before this node took the lease. */
	readonly isHandover: boolean;
	/** The latest rows that are known to be in the store. */
	rows: CellRows;
	lease: LeaseRecord;
	storeAuthorityEnd: Timestamp;
	/** When the last renewal that certainly took effect was sent. */
	renewedAt: Timestamp;
	/** Writes against the current row versions that may still take effect. */
	pending: readonly PendingWrite[];
	writeOperationId: number | undefined;
	readOperationId: number | undefined;
	mustRead: boolean;
	nextOperationAtMs: number;
	nextRenewalAtMs: number;
	storeFailing: boolean;
	extended: boolean;
	/** Since when members are known to have terminated, by `formatNodeKey`. */
	readonly terminatedSince: Map<string, number>;
	/** The controller grants nothing before this time. */
	earliestGrantAtMs: number;
	/** Until this time no member is classified as lost because of its silence. */
	lossGraceEndAtMs: number;
	/**
	 * Whether the takeover needs no quorum, because the lease row was unchanged for longer than any extension of the
	 * older epoch can last.
	 */
	readonly isQuorumWaived: boolean;
	nextRequestAtMs: number;
	readonly agreements: Map<string, TakeoverAgreement>;
	readonly sessions: Map<string, Session>;
	readonly holders: Map<string, Holder>;
	readonly predecessors: Map<string, GrantOrder['predecessor']>;
	/** The map in force: the stored one, or one derived from it after members were lost during a store outage. */
	map: CellMap;
	members: readonly Member[];
	minMapVersion: number;
	fenceCounter: number;
	/**
	 * The latest version of any grant list of the epoch. Every list gets a new version, even if a session is
	 * deleted and created again.
	 */
	latestGrantsVersion: number;
	/** Whether anything that the grants depend on has changed since they were last updated. */
	mustUpdateGrants: boolean;
	/** When the earliest lease that a grant waits for has ended; infinite when no grant waits. */
	nextGrantUpdateAtMs: number;
	/** `formatNodeKey` of the node instances whose grant lists must be rebuilt from `holders`. */
	readonly staleOrderKeys: Set<string>;
	/** Since when newly joined VMs have been waiting for their first partitions. */
	joinPendingSinceMs: number | undefined;
	/** The VMs that could own partitions in the last plan. */
	eligibleVms: ReadonlySet<string>;
	/** The inputs that the stored map was planned from. */
	basis: PlanBasis | undefined;
	/** The lost members that the latest map derived during a store outage accounts for. */
	failoverKey: string;
	/** When balance is checked again; undefined when the last plan moved nothing. */
	nextBalanceAtMs: number | undefined;
};

/** The complete state of a `CellMachine`. */
export type CellState = {
	readonly cell: string;
	readonly timing: CellTiming;
	readonly node: NodeIdentity;
	configuration: Configuration;
	operationId: number;
	storeReachable: boolean | undefined;
	readonly member: MemberState;
	readonly candidate: CandidateState;
	controller: ControllerState | undefined;
	publishedView: OwnershipView | undefined;
};

/** Creates the state of a node that has just started. */
export function createState(opts: CellMachineOpts): CellState {
	return {
		cell: opts.cell,
		timing: opts.timing,
		node: {vmId: opts.member.vmId, incarnation: opts.member.incarnation},
		configuration: opts.configuration ?? emptyConfiguration,
		operationId: 0,
		storeReachable: undefined,
		member: createMemberState(opts),
		candidate: {
			readOperationId: undefined, nextReadAtMs: 0, rows: undefined, firstSeenAtMs: 0, takeover: undefined,
		},
		controller: undefined,
		publishedView: undefined,
	};
}

function createMemberState(opts: CellMachineOpts): MemberState {
	return {
		description: opts.member,
		descriptionVersion: 1,
		acknowledgedDescription: 0,
		agreedEpoch: 0,
		contact: undefined,
		sequence: 0,
		sent: new Map(),
		awaitedSequence: undefined,
		missedReplies: 0,
		nextHeartbeatAtMs: 0,
		heartbeatIntervalMs: opts.timing.minHeartbeatIntervalMs,
		promisedStampMs: undefined,
		promiseEndAtMs: 0,
		olderPromiseEndAtMs: 0,
		leaseEnd: undefined,
		grantsEpoch: 0,
		grantsVersion: 0,
		grants: new Map(),
		released: [],
		lastReleased: new Map(),
		routing: undefined,
		load: undefined,
		controllerConfigurationVersion: opts.configuration.version,
		stopping: false,
		stopped: false,
	};
}

/** Formats a node instance as a map key. */
export function formatNodeKey(node: NodeIdentity): string {
	return `${node.vmId}/${node.incarnation}`;
}
