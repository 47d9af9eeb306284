import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Call, CallPath, CallResult} from './call.js';

const msPerSecond = 1000;

/** An open-loop load: calls are sent at random intervals, whether or not earlier calls were answered. */
export type OpenLoad = {
	readonly ratePerSecond: number;
	readonly durationMs: number;
	/** Creates the next call. */
	readonly createCall: () => Call;
	/** Receives each result, how much later than planned its call was sent, and the planned time since the start. */
	readonly onResult: (result: CallResult, delayMs: number, plannedMs: number) => void;
};

/**
 * Sends a load and resolves when all its calls have ended. `delayMs` lets `onResult` count latency from the planned time
 * of a call, so that a stalled sender does not hide latency.
 */
export async function sendOpenLoad(path: CallPath, load: OpenLoad, clock: Clock, random: RandomSource): Promise<void> {
	const startMs = clock.readTimestamp().monotonicMs;
	const pending = new Set<Promise<void>>();
	let plannedMs = 0;
	while (plannedMs < load.durationMs) {
		const nowMs = clock.readTimestamp().monotonicMs - startMs;
		if (plannedMs > nowMs) {
			await clock.sleep(plannedMs - nowMs);
			continue;
		}

		const sent = sendCall(path, load, {plannedMs, delayMs: nowMs - plannedMs});
		pending.add(sent);
		sent.finally(() => {
			pending.delete(sent);
		}).catch(() => {
			// `CallPath.send` never throws.
		});
		plannedMs += generateGapMs(load.ratePerSecond, random);
	}

	await Promise.all(pending);
}

async function sendCall(path: CallPath, load: OpenLoad, planned: {readonly plannedMs: number; readonly delayMs: number}): Promise<void> {
	const result = await path.send(load.createCall());
	load.onResult(result, planned.delayMs, planned.plannedMs);
}

function generateGapMs(ratePerSecond: number, random: RandomSource): number {
	return -Math.log(1 - random.generateFraction()) * msPerSecond / ratePerSecond;
}
