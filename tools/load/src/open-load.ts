import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Call, CallPath, CallResult} from './call.js';

const msPerSecond = 1000;

/** A load whose calls come at drawn times, whether or not earlier ones were answered. */
export type OpenLoad = {
	readonly ratePerSecond: number;
	readonly durationMs: number;
	/** Creates the next call. */
	readonly createCall: () => Call;
	/** Takes each result, how much later than planned its call was sent, and when it was planned since the start. */
	readonly onResult: (result: CallResult, delayMs: number, plannedMs: number) => void;
};

/** Sends a load and resolves when all its calls have ended. Latency counts from the planned time of a call. */
export async function sendOpenLoad(path: CallPath, load: OpenLoad, clock: Clock, random: RandomSource): Promise<void> {
	const startMs = clock.readMoment().monotonicMs;
	const pending = new Set<Promise<void>>();
	let plannedMs = 0;
	while (plannedMs < load.durationMs) {
		const nowMs = clock.readMoment().monotonicMs - startMs;
		if (plannedMs > nowMs) {
			await clock.sleep(plannedMs - nowMs);
			continue;
		}

		const sent = sendOne(path, load, {plannedMs, delayMs: nowMs - plannedMs});
		pending.add(sent);
		sent.finally(() => {
			pending.delete(sent);
		}).catch(() => {
			// A path never throws.
		});
		plannedMs += drawGap(load.ratePerSecond, random);
	}

	await Promise.all(pending);
}

async function sendOne(path: CallPath, load: OpenLoad, planned: {readonly plannedMs: number; readonly delayMs: number}): Promise<void> {
	const result = await path.send(load.createCall());
	load.onResult(result, planned.delayMs, planned.plannedMs);
}

function drawGap(ratePerSecond: number, random: RandomSource): number {
	return -Math.log(1 - random.drawFraction()) * msPerSecond / ratePerSecond;
}
