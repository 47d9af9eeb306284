import type {RandomSource} from '@buckthornpoint/clock/random.js';

const baseDelayMs = 10;
const maxDelayMs = 400;

/** Draws the delay before an extra attempt: exponential with full jitter. `retries` counts the extra attempts before it, from 0. */
export function drawDelay(retries: number, random: RandomSource): number {
	return random.drawFraction() * Math.min(maxDelayMs, baseDelayMs * (2 ** retries));
}
