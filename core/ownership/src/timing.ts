/** The times that the safety argument of docs/design/ownership.md rests on, all in milliseconds unless named otherwise. */
export type CellTiming = {
	/** How long a renewal in the store gives the controller authority, from when it was sent. */
	readonly authorityMs: number;
	/** How often the controller renews in the store. */
	readonly renewalIntervalMs: number;
	/** How long a member promises an epoch. */
	readonly promiseMs: number;
	/** The longest lease of a node. */
	readonly leaseMs: number;
	/** Heartbeat interval of the smallest cells. */
	readonly minHeartbeatIntervalMs: number;
	/** Added to the heartbeat interval by each member, so that the controller's load does not grow with the cell. */
	readonly heartbeatIntervalPerMemberMs: number;
	/** Heartbeat interval of the largest cells. */
	readonly maxHeartbeatIntervalMs: number;
	/** When an unanswered heartbeat is sent again. */
	readonly heartbeatTimeoutMs: number;
	/** Fraction by which two clocks of the deployment may run apart. */
	readonly maxDrift: number;
	/** How long a request handed over before a lease ended may still run at a backend server that keeps deadlines. */
	readonly inFlightAllowanceMs: number;
	/** How long the controller may rest on promises without the store, after which a takeover needs no majority. */
	readonly maxExtensionMs: number;
	/** How long a planned hand-over waits for running requests. */
	readonly drainMs: number;
};

/** The times of a deployment in one region. */
export const defaultTiming: CellTiming = {
	authorityMs: 1300,
	renewalIntervalMs: 500,
	promiseMs: 2400,
	leaseMs: 1300,
	minHeartbeatIntervalMs: 300,
	heartbeatIntervalPerMemberMs: 20,
	maxHeartbeatIntervalMs: 800,
	heartbeatTimeoutMs: 250,
	maxDrift: 0.01,
	inFlightAllowanceMs: 100,
	maxExtensionMs: 3_600_000,
	drainMs: 10_000,
};
