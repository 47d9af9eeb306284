/** The durations that the safety argument in docs/design/ownership.md depends on. */
export type CellTiming = {
	/** How long a renewal in the store gives the controller authority, counted from when it was sent. */
	readonly authorityMs: number;
	/** Interval at which the controller renews its lease in the store. */
	readonly renewalIntervalMs: number;
	/** How long a member promises an epoch. */
	readonly promiseMs: number;
	/** Maximum length of a node's lease. */
	readonly leaseMs: number;
	/** Heartbeat interval of the smallest cells. */
	readonly minHeartbeatIntervalMs: number;
	/**
	 * Added to the heartbeat interval for each member, so that the load on the controller does not grow in proportion
	 * to the cell.
	 */
	readonly heartbeatIntervalPerMemberMs: number;
	/** Heartbeat interval of the largest cells. */
	readonly maxHeartbeatIntervalMs: number;
	/** Time after which a heartbeat without a reply is sent again. */
	readonly heartbeatTimeoutMs: number;
	/** Maximum clock drift, as a fraction. Two clocks may drift apart by twice this. */
	readonly maxDrift: number;
	/**
	 * How long a request that was handed over before the lease ended may still run on a backend server that observes
	 * deadlines.
	 */
	readonly inFlightAllowanceMs: number;
	/** How long the controller may act on promises without the store. After this time a takeover needs no quorum. */
	readonly maxExtensionMs: number;
	/** How long a planned handover waits for running requests. */
	readonly drainMs: number;
};

/** Timing for a deployment within one region. */
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
