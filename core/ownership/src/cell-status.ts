import type {
	CellId, FailureDomainName, Fence, NodeIdentity, PartitionId, VmId,
} from '@buckthornpoint/types/identity.js';
import type {BackendServer, MemberPhase} from '@buckthornpoint/types/membership.js';

/** A member of the cell. On nodes other than the controller, the properties that come from heartbeats are absent. */
export type MemberStatus = {
	readonly vmId: VmId;
	readonly incarnation: string;
	readonly failureDomain: FailureDomainName;
	readonly phase: MemberPhase;
	readonly callerOrigin: string;
	readonly backendServer?: BackendServer;
	/** Time since its last heartbeat. Known to the controller only. */
	readonly silentForMs?: number;
	/** Version of the configuration that it has. Known to the controller only. */
	readonly configurationVersion?: number;
	readonly mapVersion?: number;
	readonly partitionCount: number;
};

/** A partition that is granted to the node. */
export type GrantStatus = {
	readonly partition: PartitionId;
	readonly fence: Fence;
	readonly releasing: boolean;
};

/** State of a node and its cell, as the node knows it. */
export type CellStatus = {
	readonly cell: CellId;
	readonly node: NodeIdentity;
	readonly role: 'controller' | 'candidate' | 'member';
	readonly epoch: number;
	readonly controller?: NodeIdentity;
	/** Origin at which the controller serves callers and operators, when known. */
	readonly controllerOrigin?: string;
	/** Remaining time of the node's lease; 0 for none. */
	readonly leaseRemainingMs: number;
	/** Whether the last operation on the store succeeded; undefined when the node has made none. */
	readonly storeReachable?: boolean;
	readonly configurationVersion: number;
	readonly mapVersion: number;
	readonly members: readonly MemberStatus[];
	readonly grants: readonly GrantStatus[];
};
