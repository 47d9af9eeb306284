import type {Clock} from '@buckthornpoint/clock/clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {NodePath, type CallResult} from './call.js';
import {createServiceCall} from './calls.js';
import {sendOpenLoad} from './open-load.js';
import type {ProcessLoad, ProcessReport} from './process-messages.js';

const connectionsPerNode = 64;

/** Sends a closed-loop or open-loop load and returns the latencies of its answers. */
export async function sendProcessLoad(load: ProcessLoad, clock: Clock): Promise<ProcessReport> {
	const path = new NodePath(clock, {origins: [load.origin], connectionsPerNode});
	const latencies: number[] = [];
	let failures = 0;
	const onResult = (result: CallResult, delayMs: number): void => {
		if (result.kind === 'answer' && result.matchesCall) {
			latencies.push(result.latencyMs + delayMs);
		} else {
			failures++;
		}
	};

	await (load.concurrency > 0 ? sendClosedLoad(path, load, {clock, onResult}) : sendOpen(path, load, {clock, onResult}));
	await path.close();
	return {latencies, failures};
}

type SendOpts = {
	readonly clock: Clock;
	readonly onResult: (result: CallResult, delayMs: number) => void;
};

async function sendOpen(path: NodePath, load: ProcessLoad, {clock, onResult}: SendOpts): Promise<void> {
	const random = new SeededRandom(load.seed);
	await sendOpenLoad(path, {...load, createCall: () => createServiceCall(load.service, random), onResult}, clock, random);
}

async function sendClosedLoad(path: NodePath, load: ProcessLoad, {clock, onResult}: SendOpts): Promise<void> {
	const endMs = clock.readTimestamp().monotonicMs + load.durationMs;
	await Promise.all(Array.from({length: load.concurrency}, async (_, index) => {
		const random = new SeededRandom((load.seed * load.concurrency) + index);
		while (clock.readTimestamp().monotonicMs < endMs) {
			onResult(await path.send(createServiceCall(load.service, random)), 0);
		}
	}));
}
