import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import test from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {runPlannedStop, type PlannedStopOpts} from '../src/planned-stop.js';

const graceMs = 6000;

type StopResult = {readonly steps: string[]; readonly endMs: number; readonly stopMs: number};

/** Stops a node in steps of 20 ms. `readOpen` returns the number of open requests of callers. */
async function stop(readOpen: (nowMs: number) => number, release: PlannedStopOpts['release']): Promise<StopResult> {
	const clock = new ManualClock();
	const steps: string[] = [];
	const startMs = clock.readTimestamp().monotonicMs;
	let stopMs = 0;
	const running = runPlannedStop({
		clock,
		callers: {
			startStop(endMs) {
				steps.push('refuse requests of callers that may last too long');
				stopMs = endMs;
			},
			countOpen: () => readOpen(clock.readTimestamp().monotonicMs),
			stopListening() {
				steps.push('stop listening');
			},
		},
		gate: {
			stop() {
				steps.push('refuse waiting requests');
			},
			countRunning: () => 0,
		},
		peers: {
			announceLeaving() {
				steps.push('notify the other nodes');
			},
			closeConnections() {
				steps.push('close connections');
			},
		},
		graceMs,
		release,
		refusePeerRequestsBeyond(endMs) {
			steps.push(`refuse beyond ${endMs - startMs} ms`);
		},
		onStep({step, open}) {
			steps.push(`report ${step}, ${open} open`);
		},
	});
	while (!steps.includes('close connections') && clock.readTimestamp().monotonicMs < 2 * graceMs) {
		await setImmediate();
		clock.advance(20);
	}

	// Lets the final transit delay pass.
	await setImmediate();
	clock.advance(100);
	await running;
	return {steps, endMs: clock.readTimestamp().monotonicMs, stopMs};
}

test('a node without open requests stops in order, after time for two readiness checks', async () => {
	const {steps, endMs} = await stop(() => 0, async () => undefined);
	assert.deepEqual(steps, [
		'report not-ready, 0 open',
		'refuse requests of callers that may last too long',
		'refuse beyond 5300 ms',
		'report leaving, 0 open',
		'refuse beyond -Infinity ms',
		'refuse waiting requests',
		'notify the other nodes',
		'stop listening',
		'report ending-connections, 0 open',
		'close connections',
		'report ended, 0 open',
	]);
	assert.ok(endMs < 3000, `${endMs} ms`);
});

test('a store that does not respond does not delay the stop', async () => {
	const {steps, endMs, stopMs} = await stop(() => 1, waitForever);
	assert.equal(steps.at(-2), 'close connections');
	assert.ok(endMs < graceMs, `${endMs} ms`);
	assert.ok(stopMs < endMs);
});

test('the stop waits for answers of other nodes as long as for requests at the local backend server', async () => {
	const answeredMs = graceMs - 500;
	const {steps} = await stop(nowMs => nowMs < answeredMs ? 1 : 0, async () => undefined);
	assert.ok(steps.includes('report leaving, 1 open'));
	assert.ok(steps.includes('report ending-connections, 0 open'));
});

type Bounds = {readonly callersMs: number; readonly peersMs: number; readonly runningAtListeningEnd: number};

/** Stops a node whose backend server runs requests of other nodes until `runningUntilMs`. No requests of callers are open. */
async function stopWhilePeerRequestsRun(runningUntilMs: number): Promise<Bounds> {
	const clock = new ManualClock();
	const startMs = clock.readTimestamp().monotonicMs;
	const countRunning = (): number => clock.readTimestamp().monotonicMs - startMs < runningUntilMs ? 1 : 0;
	let callersMs = 0;
	let peersMs = 0;
	let runningAtListeningEnd = -1;
	const running = runPlannedStop({
		clock,
		callers: {
			startStop(endMs) {
				callersMs = endMs - startMs;
			},
			countOpen: () => 0,
			stopListening() {
				runningAtListeningEnd = countRunning();
			},
		},
		gate: {stop: () => undefined, countRunning},
		peers: {announceLeaving: () => undefined, closeConnections: () => undefined},
		graceMs,
		release: async () => undefined,
		refusePeerRequestsBeyond(endMs) {
			peersMs = Math.max(peersMs, endMs - startMs);
		},
		onStep: () => undefined,
	});
	while (clock.readTimestamp().monotonicMs - startMs < 2 * graceMs) {
		await setImmediate();
		clock.advance(20);
	}

	await running;
	return {callersMs, peersMs, runningAtListeningEnd};
}

test('calls of the local backend server are accepted while it runs a request of another node', async () => {
	const {runningAtListeningEnd} = await stopWhilePeerRequestsRun(4000);
	assert.equal(runningAtListeningEnd, 0);
});

test('a request of another node is accepted only if the calls that it makes are accepted for as long as it may run', async () => {
	const {callersMs, peersMs} = await stopWhilePeerRequestsRun(0);
	assert.ok(peersMs <= callersMs, `requests of other nodes may last until ${peersMs} ms, calls until ${callersMs} ms`);
});

async function waitForever(): Promise<void> {
	await new ManualClock().sleep(1);
}
