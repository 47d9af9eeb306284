/** Name of a service, as written by operators in release notes. */
export type ServiceName = string;
/** Name of a failure domain, as written in settings and release notes. */
export type FailureDomainName = string;
/** Name of a VM of a cell, shared by the node and the backend server on it. */
export type VmId = string;
/** Name of a cell: a group of at most about 40 VMs over the failure domains of one region. */
export type CellId = string;
/** Random id generated when a process starts. A restarted process has a different one. */
export type Incarnation = string;
/** Number of a partition within its service, starting at 0. */
export type PartitionNumber = number;

/** One instance of the node process on a VM. */
export type NodeIdentity = {
	readonly vmId: VmId;
	readonly incarnation: Incarnation;
};

export type PartitionId = {
	readonly service: ServiceName;
	readonly partition: PartitionNumber;
};

/**
 * Fencing token that orders the grants of a partition. The epoch is that of the controller lease; the counter increases
 * within an epoch. Every grant of a partition carries a larger fence than all earlier ones.
 */
export type Fence = {
	readonly epoch: number;
	readonly counter: number;
};

/** Compares two fences: negative if `left` is older. */
export function compareFences(left: Fence, right: Fence): number {
	return left.epoch === right.epoch ? left.counter - right.counter : left.epoch - right.epoch;
}

/** Formats a fence as `epoch.counter`. */
export function formatFence(fence: Fence): string {
	return `${fence.epoch}.${fence.counter}`;
}

/** Formats a partition as `service/number`, which is also used as a key in maps. */
export function formatPartitionId(id: PartitionId): string {
	return `${id.service}/${id.partition}`;
}

/** Returns whether two identities denote the same instance of the same node. */
export function isSameNode(left: NodeIdentity, right: NodeIdentity): boolean {
	return left.vmId === right.vmId && left.incarnation === right.incarnation;
}
