/** Name of a service, as operators write it in a release note. */
export type ServiceName = string;
/** Name of a failure domain, as settings and release notes write it. */
export type FailureDomainName = string;
/** Name of a VM of a cell: the node on it and the backend server beside the node share it. */
export type VmId = string;
/** Name of a cell: at most some 40 VMs over the failure domains of one region. */
export type CellId = string;
/** A number drawn when a process starts. A process that starts again gets another one. */
export type Incarnation = string;
/** Number of a partition within its service, from 0. */
export type PartitionNumber = number;

/** One run of a node on a VM. */
export type NodeIdentity = {
	readonly vmId: VmId;
	readonly incarnation: Incarnation;
};

/** A partition of a service. */
export type PartitionId = {
	readonly service: ServiceName;
	readonly partition: PartitionNumber;
};

/**
 * Orders the grants of a partition. The epoch is that of the controller lease; the counter grows within it.
 * Every grant of a partition carries a fence that is larger than all earlier ones.
 */
export type Fence = {
	readonly epoch: number;
	readonly counter: number;
};

/** Orders two fences: negative when `left` is older. */
export function compareFences(left: Fence, right: Fence): number {
	return left.epoch === right.epoch ? left.counter - right.counter : left.epoch - right.epoch;
}

/** Formats a fence as `epoch.counter`. */
export function formatFence(fence: Fence): string {
	return `${fence.epoch}.${fence.counter}`;
}

/** Formats a partition as `service/number`, which also serves as its key in maps. */
export function formatPartitionId(id: PartitionId): string {
	return `${id.service}/${id.partition}`;
}

/** Tells whether two identities name the same run of the same node. */
export function isSameNode(left: NodeIdentity, right: NodeIdentity): boolean {
	return left.vmId === right.vmId && left.incarnation === right.incarnation;
}
