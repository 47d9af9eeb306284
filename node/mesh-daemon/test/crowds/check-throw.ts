import assert from 'node:assert/strict';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCallers, type CallerTask} from './caller-threads.js';
import {startFleet} from './check-fleet.js';
import {routeHost} from './fleet-processes.js';

const timeoutSeconds = 1;

/** When each node throws, after its start; the callers send before and after. */
const throwAfterMs = 3500;
const durationMs = 8000;

/** From then on, all requests must be served. */
const recoveredMs = 6500;

/** The operator's target: no request is held for longer than this past the time-out of its route. */
const maxOverdueMs = 500;

const applyMs = 2000;
const graceMs = 6000;
const pollIntervalMs = 100;
const msPerSecond = 1000;
const statusOk = 200;

/** Time limit for one check. */
export const checkTimeoutMs = 90_000;

/** Checks that nodes that throw once at `site`, which throw-injector.ts describes, answer all requests in time and go on in all their parts. */
export async function checkThrow(t: TestContext, site: string): Promise<void> {
	const fleet = await startFleet(t, {
		bodyBytes: 1000, slots: 100, timeoutSeconds, workMs: 50, thrown: {site, afterMs: throwAfterMs},
	});
	const task: CallerTask = {
		address: fleet.entry.callers, host: routeHost, method: 'POST', path: '/jobs/1', prefix: 'caller', callers: 6, keepsConnections: true, deadlineMs: 3000, patienceMs: 4000, durationMs,
	};
	const startMs = performance.timeOrigin + performance.now();
	const runs = await Promise.all([runCallers(task), runCallers({
		...task, prefix: 'new', callers: 3, keepsConnections: false,
	})]);
	const reports = runs.flat();
	assert.ok(fleet.nodes.some(({output}) => output.includes('injected\n')), 'nothing was thrown');
	assert.deepEqual(reports.filter(({heldMs}) => heldMs > (timeoutSeconds * msPerSecond) + maxOverdueMs), []);
	const late = reports.filter(({sentMs}) => sentMs > startMs + recoveredMs);
	assert.ok(late.length > 0);
	assert.deepEqual(late.filter(({status}) => status !== statusOk), []);
	assert.ok(await fleet.entry.isReady());

	fleet.addRoute('added.example');
	await sleep(applyMs);
	const [added] = await runCallers({
		...task, prefix: 'added', host: 'added.example', callers: 1, keepsConnections: false, durationMs: 0,
	});
	assert.equal(added?.status, statusOk, 'the added route is not served');

	fleet.entry.stop();
	for (let waitedMs = 0; waitedMs < graceMs + msPerSecond && fleet.entry.end === undefined; waitedMs += pollIntervalMs) {
		await sleep(pollIntervalMs);
	}

	assert.match(fleet.entry.end ?? 'runs on after its grace time', /^ended with 0/v);
}
