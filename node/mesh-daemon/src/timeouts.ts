import type {RangeControllerOpts} from '@buckthornpoint/key-ranges/range-controller.js';
import type {RetryBudgetOpts} from '@buckthornpoint/retries/retry-budget.js';
import type {MeshSettings} from './settings.js';

/** The times of a node that follow from its settings, in milliseconds. */
export type MeshTimes = {
	/** How long a grant of keys to the backend server lasts. */
	readonly holdMs: number;
	/** How long after the acknowledgement that a server leaves requests are still sent to it. */
	readonly leavingMs: number;
	/** How long after the order to empty the failure domain requests are still sent to the server. */
	readonly evacuationMs: number;
	readonly graceMs: number;
	readonly controller: RangeControllerOpts;
};

const milliseconds = 1000;

/** A grant outlasts two heartbeats and this much, in milliseconds: a heartbeat may arrive seconds late. */
const lateHeartbeatMs = 2000;

/** A lease outlasts the grants that are given under it by one missed heartbeat to the controller, and some. In milliseconds. */
const leaseMarginMs = 1200;

/** A node that missed three heartbeats is given nothing new, in milliseconds. */
const silentMs = 1600;

/** Nodes that were silent for this long leave the directory, in milliseconds; a VM that lost power is mostly back before. */
const forgetMs = 10_000;

/** Part of the bound for servers that leave within which requests are still sent: the rest is for the way. */
const leavingPart = 0.5;

/** Part of the allowed extra attempts that nodes use themselves; the rest is for what others count differently. */
const retryPart = 0.5;

/** The slack of extra attempts is shared by at least this many nodes: few nodes may be known, as right after a start. */
const minSlackShares = 16;

/** A node may save up this many extra attempts however many nodes there are: with fewer it would hardly repeat anything. */
const minSavedRetries = 2;

/** Derives the times of a node. */
export function deriveTimes({heartbeatSeconds, bounds}: MeshSettings): MeshTimes {
	const heartbeatMs = heartbeatSeconds * milliseconds;
	const holdMs = Math.min(bounds.maxHoldSeconds * milliseconds, (2 * heartbeatMs) + lateHeartbeatMs);
	return {
		holdMs,
		leavingMs: bounds.drainSeconds * leavingPart * milliseconds,
		evacuationMs: bounds.evacuationSeconds * leavingPart * milliseconds,
		graceMs: bounds.graceSeconds * milliseconds,
		controller: {
			leaseMs: holdMs + leaseMarginMs,
			silentMs,
			backendSilentMs: (2.5 * heartbeatMs) + 500,
			gatherMs: (1.5 * heartbeatMs) + 500,
			forgetMs,
		},
	};
}

/** Derives how many extra attempts the node may spend, given how many nodes share the service's allowance. */
export function deriveRetryBudget({bounds}: MeshSettings, countNodes: () => number): RetryBudgetOpts {
	return {
		share: bounds.retryRatio * retryPart,
		getMaxTokens: () => Math.max(minSavedRetries, bounds.retrySlack * retryPart / Math.max(minSlackShares, countNodes())),
	};
}
