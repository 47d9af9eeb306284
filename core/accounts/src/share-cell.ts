/** The share of one node. */
export type Cell = {
	readonly vmId: string;
	readonly quota: number;
	readonly total: number;
	/** The sum of all shares when this one was granted; the rate is divided in proportion to it. */
	readonly sharesSum: number;
	/** The version of the last change. */
	readonly version: number;
	/** Earlier shares that the node may still use, with the version whose confirmation ends each. */
	readonly earlier: ReadonlyArray<{readonly quota: number; readonly total: number; readonly version: number}>;
	/** The requests of the latest window, if the node reported more than its share. */
	readonly excess: number;
	readonly demandPerS: number;
	readonly demandMs: number;
	/** Place in the order of the account: it differs between accounts. */
	readonly rank: number;
};

/** A demand is forgotten with this time constant: irregular arrivals must not move shares each second. */
const demandDecayMs = 2000;

/** Demand below this counts as none. */
const minDemandPerS = 0.05;

/** Shares within these multiples of their targets stay as they are, unless the sum is needed elsewhere. */
const minKept = 0.8;
const maxKept = 1.4;

/** The same while some node gets less than it needs. */
export const minKeptIfScarce = 0.9;
const maxKeptIfScarce = 1.1;

/** Returns the most that a node with a total of `limit` makes of a share of another total. */
export function convertQuota(quota: number, total: number, limit: number): number {
	return total > limit ? Math.ceil(quota * limit / total) : quota;
}

/** Returns the demand of a node, which fades without reports. */
export function estimateDemand({demandPerS, demandMs}: Pick<Cell, 'demandPerS' | 'demandMs'>, nowMs: number): number {
	const perS = demandPerS === 0 ? 0 : demandPerS * Math.exp(-Math.max(0, nowMs - demandMs) / demandDecayMs);
	return perS < minDemandPerS ? 0 : perS;
}

/** Returns whether a share is close enough to its target. */
export function isKept(current: number, target: number, isScarce: boolean): boolean {
	return current >= target * (isScarce ? minKeptIfScarce : minKept) && current <= target * (isScarce ? maxKeptIfScarce : maxKept);
}
