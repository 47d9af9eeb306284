import type {RangeControllerOpts} from '@buckthornpoint/key-ranges/controller-start.js';
import type {RetryBudgetOpts} from '@buckthornpoint/retries/retry-budget.js';
import type {MeshSettings} from './settings.js';

/** Timeouts of a node, derived from its settings. */
export type MeshTimeouts = {
	/** Duration of a grant of keys to the backend server. */
	readonly holdMs: number;
	/** How long requests are still sent to a server after its leave call was acknowledged. */
	readonly leavingSendMs: number;
	/** How long requests are still sent to the server after the order to evacuate its failure domain. */
	readonly evacuationSendMs: number;
	readonly graceMs: number;
	readonly controller: RangeControllerOpts;
};

const millisecondsPerSecond = 1000;

/** Interval of the periodic work of a node: refreshing the watch and advancing the gate. */
export const tickIntervalMs = 100;

/** A grant lasts for two heartbeat intervals plus this time: a heartbeat can arrive seconds late. */
const maxHeartbeatDelayMs = 2000;

/** A lease outlasts the grants under it by this much: enough for one missed heartbeat to the controller. */
const leaseMarginMs = 1200;

/** A node that has been silent for this long, three heartbeat intervals, is assigned no new ranges. */
const nodeSilenceMs = 1600;

/** A node that has been silent for this long is removed from the directory. A VM that lost power is usually back earlier. */
const nodeRetentionMs = 10_000;

/** Share of the drain or evacuation time during which requests are still sent to a leaving or evacuated server. The rest covers requests in transit. */
const sendWindowShare = 0.5;

/** Share of the allowed extra attempts that nodes use. The rest is a margin for differences in how attempts are counted. */
const retryAllowanceShare = 0.5;

/** The slack is divided among at least this many nodes: right after a start a node may know only a few of them. */
const minNodesSharingSlack = 16;

/** A node can save up at least this many extra attempts, however many nodes there are. With fewer it would hardly ever retry. */
const minSavedAttempts = 2;

/** Derives the timeouts of a node. */
export function deriveTimeouts({heartbeatSeconds, bounds, balance = 'usual'}: MeshSettings): MeshTimeouts {
	const heartbeatMs = heartbeatSeconds * millisecondsPerSecond;
	const holdMs = Math.min(bounds.maxHoldSeconds * millisecondsPerSecond, (2 * heartbeatMs) + maxHeartbeatDelayMs);
	return {
		holdMs,
		leavingSendMs: bounds.drainSeconds * sendWindowShare * millisecondsPerSecond,
		evacuationSendMs: bounds.evacuationSeconds * sendWindowShare * millisecondsPerSecond,
		graceMs: bounds.graceSeconds * millisecondsPerSecond,
		controller: {
			leaseMs: holdMs + leaseMarginMs,
			vmSilenceMs: nodeSilenceMs,
			backendSilenceMs: (2.5 * heartbeatMs) + 500,
			startGatheringMs: (1.5 * heartbeatMs) + 500,
			vmRetentionMs: nodeRetentionMs,
			balance,
		},
	};
}

/** Derives the retry budget of the node. `countNodes` returns the number of nodes that share a service's allowance. */
export function deriveRetryBudget({bounds}: MeshSettings, countNodes: () => number): RetryBudgetOpts {
	return {
		ratio: bounds.retryRatio * retryAllowanceShare,
		getMaxTokens: () => Math.max(minSavedAttempts, bounds.retrySlack * retryAllowanceShare / Math.max(minNodesSharingSlack, countNodes())),
	};
}
