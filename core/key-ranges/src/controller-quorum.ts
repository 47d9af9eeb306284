/** The members that bind a controller's leases, as stated in its row. A lease ends within `leaseMs` of the latest time at which more than half of them followed no later controller. */
export type ControllerQuorum = {
	/** Incarnations of node processes: a process that started later has forgotten which controllers its VM followed. */
	readonly members: readonly string[];
	readonly leaseMs: number;
};

/** Counts the members that are more than half of `size`: any two such groups have one in common. */
export function countMajority(size: number): number {
	return Math.floor(size / 2) + 1;
}
