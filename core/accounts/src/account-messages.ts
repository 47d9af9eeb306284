import type {ClientAccount} from './client-account.js';

/**
 * A node's share of the limit of an account: the requests that may pass there in any window, the total of which it was granted,
 * and the sum of the shares of all nodes then. A node applies the fraction of the total to the limit of its own configuration, so that a lower limit
 * takes effect without a new share. Its part of the rate is its part of the sum.
 */
export type AccountShare = readonly [account: string, quota: number, total: number, sharesSum: number];

/** Sent in heartbeats by nodes whose configuration has limited accounts. */
export type AccountReport = {
	/** Epoch of the controller that granted the shares that the node holds; 0 if it was granted none since its start. */
	readonly epoch: number;
	/** The latest version of the shares that the node has applied: it confirms every change up to this version. */
	readonly version: number;
	/** Requests offered per second, of the accounts with requests. */
	readonly offered: ReadonlyArray<readonly [account: string, perS: number]>;
	/** The requests that passed in the latest window, of the accounts where they exceed the share. */
	readonly excess?: ReadonlyArray<readonly [account: string, count: number]>;
	/** The shares that the node holds, while they are not those of the controller that it follows. */
	readonly held?: readonly AccountShare[];
};

/** The controller's shares for a node. */
export type AccountSharesUpdate = {
	readonly version: number;
	/** The version that `shares` is to be applied to; 0 if it replaces everything that the node holds. */
	readonly baseVersion: number;
	/** How long all shares are valid, counted from when the node sent its heartbeat. */
	readonly leaseMs: number;
	/** The shares that changed since `baseVersion`. */
	readonly shares: readonly AccountShare[];
	/** The accounts near their limits: only for these, a node keeps to its share. Without the field, for all. */
	readonly restricted?: readonly string[];
	/** Number of nodes that the limits are divided among. */
	readonly members?: number;
};

/** Duration of a lease of shares: a lost controller is replaced, and the members report to its successor, within it. */
export const shareLeaseMs = 8000;

/** The window of the limit of an account. */
export const limitWindowSeconds = 5;

/** Counts are kept in slots of this duration. */
export const slotMs = 250;

/** A request counts for this number of slots: 5.25 s at least, which is 5 s on a clock that is 4 % fast, and some delay of requests on their way to a server. */
export const slotCount = 22;

/** The longest time for which a request counts. */
export const cooldownMs = slotCount * slotMs;

/**
 * The sum of the shares may exceed what the limit allows in a window by this factor and this number of requests. The bound of accounts
 * allows twice as much; the rest is left for requests that bunch on their way to a server.
 */
const totalFactor = 1.05;
const totalExtra = 10;

/** Returns whether the rate of an account is limited. */
export function hasRateLimit({ratePerS}: Pick<ClientAccount, 'ratePerS'>): boolean {
	return ratePerS > 0;
}

/** Derives the sum of the shares of all nodes: requests in any window. */
export function deriveTotal({ratePerS, burst}: Pick<ClientAccount, 'ratePerS' | 'burst'>): number {
	return Math.floor((((ratePerS * limitWindowSeconds) + burst) * totalFactor) + totalExtra);
}
