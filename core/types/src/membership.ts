import type {
	FailureDomainName, Incarnation, NodeIdentity, ServiceName, VmId,
} from './identity.js';

/** Announcement that a backend server sends to the local node repeatedly. */
export type BackendServer = {
	readonly name: string;
	readonly service: ServiceName;
	/** Origin of its HTTP interface, such as `http://127.0.0.1:8080`. */
	readonly origin: string;
	/** Greatest number of concurrent requests. */
	readonly slots: number;
	/** Whether it refuses a request whose fence is older than one that it has already received. */
	readonly checksFence: boolean;
	readonly incarnation: Incarnation;
	/** Whether it is about to stop: it completes running requests and gets no new ones. */
	readonly leaving: boolean;
};

/** Addresses of a node for other nodes and for callers. */
export type NodeAddresses = {
	/** Origin of the interface for other nodes. */
	readonly peerOrigin: string;
	/** Origin of the interface for callers. */
	readonly callerOrigin: string;
};

/** Whether a member takes part in placement. */
export type MemberPhase = 'joining' | 'active' | 'leaving';

/** A node of a cell as recorded in the store. */
export type Member = NodeIdentity & NodeAddresses & {
	readonly failureDomain: FailureDomainName;
	readonly phase: MemberPhase;
	/** The local backend server of the node; absent until it has registered. */
	readonly backendServer?: BackendServer;
};

/** Owners of the partitions of one service. */
export type ServicePlacement = {
	readonly service: ServiceName;
	/** Index: partition number. Value: index into `CellMap.vmIds`, or -1 if no VM can own the partition. */
	readonly owners: readonly number[];
	/** Individual hot keys whose owner differs from the owner of their partition. */
	readonly exceptions: readonly KeyException[];
};

/** A hot key with its own owner. It has its own partition number, above those of the service. */
export type KeyException = {
	readonly key: string;
	readonly owner: VmId;
};

/** Owners of all partitions of a cell. Its version only increases. */
export type CellMap = {
	readonly version: number;
	readonly vmIds: readonly VmId[];
	readonly placements: readonly ServicePlacement[];
};

/** Data from which nodes and callers find the owner of a key. */
export type RoutingTable = {
	readonly map: CellMap;
	readonly members: readonly Member[];
};
