import type {RandomSource} from '@buckthornpoint/clock/random.js';

const baseDelayMs = 10;
const maxDelayMs = 400;

/**
 * Generates the delay before a retry: exponential backoff with full jitter. `earlierRetries` is the number of retries
 * that preceded it.
 */
export function generateRetryDelay(earlierRetries: number, random: RandomSource): number {
	return random.generateFraction() * Math.min(maxDelayMs, baseDelayMs * (2 ** earlierRetries));
}
