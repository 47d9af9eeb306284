import type {Moment} from '@buckthornpoint/clock/clock.js';
import type {CellTiming} from './timing.js';

/** Returns how long to wait, by a clock that may run fast, for a time that a slow clock measures. */
export function measureLongest(durationMs: number, timing: CellTiming): number {
	return durationMs * (1 + (2 * timing.maxDrift));
}

/** Returns how long to rely, by a clock that may run slow, on a time that a fast clock measures. */
export function measureShortest(durationMs: number, timing: CellTiming): number {
	return durationMs * (1 - (2 * timing.maxDrift));
}

/** Returns how long it is until the end, by whichever clock says less; 0 when it has passed. */
export function measureRemaining(end: Moment | undefined, now: Moment): number {
	return end === undefined ? 0 : Math.max(0, Math.min(end.monotonicMs - now.monotonicMs, end.wallMs - now.wallMs));
}

/** Returns how many of a row's members must agree to a takeover. Any such set meets every set of `countExtensionQuorum`. */
export function countTakeoverQuorum(memberCount: number): number {
	return Math.ceil(memberCount / 2);
}

/** Returns how many of a row's members must promise an epoch for authority without the store. */
export function countExtensionQuorum(memberCount: number): number {
	return Math.floor(memberCount / 2) + 1;
}
