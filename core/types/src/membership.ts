import type {
	FailureDomainName, Incarnation, NodeIdentity, ServiceName, VmId,
} from './identity.js';

/** What a backend server announces to the node beside it, and repeats. */
export type BackendServer = {
	readonly name: string;
	readonly service: ServiceName;
	/** Origin of its HTTP interface, such as `http://127.0.0.1:8080`. */
	readonly origin: string;
	/** How many requests it can work on at once. */
	readonly slots: number;
	/** Whether it refuses a request whose fence is older than one it has seen. */
	readonly checksFence: boolean;
	readonly incarnation: Incarnation;
	/** Whether it is about to stop: it gets no new work, and finishes what runs. */
	readonly leaving: boolean;
};

/** Where a node can be reached by other nodes and by callers. */
export type NodeAddresses = {
	/** Origin of the interface between nodes. */
	readonly peerOrigin: string;
	/** Origin of the interface for callers. */
	readonly callerOrigin: string;
};

/** Whether a member takes part in placement. */
export type MemberPhase = 'joining' | 'active' | 'leaving';

/** A node of a cell as the store has it. */
export type Member = NodeIdentity & NodeAddresses & {
	readonly failureDomain: FailureDomainName;
	readonly phase: MemberPhase;
	/** The backend server beside the node; absent until it has announced itself. */
	readonly backendServer?: BackendServer;
};

/** Partitions of one service and the VM that owns each. */
export type ServicePlacement = {
	readonly service: ServiceName;
	/** Index: partition number. Value: index into `CellMap.vmIds`, or -1 where no VM can own it. */
	readonly owners: readonly number[];
	/** Single hot keys that are owned by another VM than their partition's owner. */
	readonly exceptions: readonly KeyException[];
};

/** A hot key with an owner of its own. It has a partition number of its own, past those of the service. */
export type KeyException = {
	readonly key: string;
	readonly owner: VmId;
};

/** Who owns what in a cell. Its version only grows. */
export type CellMap = {
	readonly version: number;
	readonly vmIds: readonly VmId[];
	readonly placements: readonly ServicePlacement[];
};

/** All that nodes and callers need to find the owner of a key. */
export type RoutingTable = {
	readonly map: CellMap;
	readonly members: readonly Member[];
};
