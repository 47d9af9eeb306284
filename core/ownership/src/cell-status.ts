import type {
	CellId, FailureDomainName, Fence, NodeIdentity, PartitionId, VmId,
} from '@buckthornpoint/types/identity.js';
import type {BackendServer, MemberPhase} from '@buckthornpoint/types/membership.js';

/** A member as the controller sees it; as another member sees it, without what only the controller hears. */
export type MemberStatus = {
	readonly vmId: VmId;
	readonly incarnation: string;
	readonly failureDomain: FailureDomainName;
	readonly phase: MemberPhase;
	readonly callerOrigin: string;
	readonly backendServer?: BackendServer;
	/** Time since its last heartbeat, in milliseconds. Known to the controller only. */
	readonly silentForMs?: number;
	/** Version of the configuration in force on it. Known to the controller only. */
	readonly configurationVersion?: number;
	readonly mapVersion?: number;
	readonly partitionCount: number;
};

/** A partition that a node may serve. */
export type GrantStatus = {
	readonly partition: PartitionId;
	readonly fence: Fence;
	readonly releasing: boolean;
};

/** What a node knows of itself and its cell. */
export type CellStatus = {
	readonly cell: CellId;
	readonly node: NodeIdentity;
	readonly role: 'controller' | 'candidate' | 'member';
	readonly epoch: number;
	readonly controller?: NodeIdentity;
	/** Origin of the controller's interface for callers and operators, when known. */
	readonly controllerOrigin?: string;
	/** Time left of the node's lease, in milliseconds; 0 for none. */
	readonly leaseRemainingMs: number;
	/** Whether the last operation on the store succeeded; undefined when the node has made none. */
	readonly storeReachable?: boolean;
	readonly configurationVersion: number;
	readonly mapVersion: number;
	readonly members: readonly MemberStatus[];
	readonly grants: readonly GrantStatus[];
};
