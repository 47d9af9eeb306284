import type {Timestamp} from '@buckthornpoint/clock/clock.js';
import type {CellTiming} from './timing.js';

/** Returns how long to wait on a possibly fast clock so that the duration has passed on a slow one. */
export function deriveUpperBound(durationMs: number, timing: CellTiming): number {
	return durationMs * (1 + (2 * timing.maxDrift));
}

/** Returns how long a duration that a fast clock measures may be relied on by a possibly slow clock. */
export function deriveLowerBound(durationMs: number, timing: CellTiming): number {
	return durationMs * (1 - (2 * timing.maxDrift));
}

/** Returns the milliseconds until the end, by the monotonic or the wall clock, whichever shows less; 0 once it has passed. */
export function measureRemaining(end: Timestamp | undefined, now: Timestamp): number {
	return end === undefined ? 0 : Math.max(0, Math.min(end.monotonicMs - now.monotonicMs, end.wallMs - now.wallMs));
}

/**
 * Returns how many of the members in the cell row must agree to a takeover. Any set of
 * this size shares a member with any set of the size that `countExtensionQuorum` returns.
 */
export function countTakeoverQuorum(memberCount: number): number {
	return Math.ceil(memberCount / 2);
}

/**
 * Returns how many of the members in the cell row must promise an epoch for the controller to have authority without
 * the store.
 */
export function countExtensionQuorum(memberCount: number): number {
	return Math.floor(memberCount / 2) + 1;
}
