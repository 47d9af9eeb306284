import assert from 'node:assert/strict';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCallers, type CallerTask} from './caller-threads.js';
import {startFleet} from './check-fleet.js';
import {routeHost} from './fleet-processes.js';

/** Time limit for one check. */
export const checkTimeoutMs = 60_000;

/** The time-out of the route, which is shorter than the work of the server, and the one that it has first. */
const timeoutSeconds = 0.4;
const firstTimeoutSeconds = 5;
const workMs = 800;

const durationMs = 5000;
const msPerSecond = 1000;

/** Time after which a change of the operator is in force. */
const applyMs = 2000;

/** The operator's target: fewer than this many requests, or than this share, are held for longer than this past the time-out of their route. */
const maxOverdueMs = 500;
const maxOverdueCount = 8;
const maxOverdueShare = 0.25;

/** Checks that a burst of new connections, each with a request, holds neither its own requests nor those of other callers past the time-out of their route. */
export async function checkBurst(t: TestContext, size: number): Promise<void> {
	const fleet = await startFleet(t, {
		bodyBytes: 1000, slots: 100, timeoutSeconds: firstTimeoutSeconds, workMs,
	});
	fleet.setTimeoutSeconds(timeoutSeconds);
	await sleep(applyMs);
	const task: CallerTask = {
		address: fleet.entry.callers, host: routeHost, method: 'POST', path: '/jobs/1', prefix: 'other', callers: 20, keepsConnections: true, deadlineMs: 5000, patienceMs: 8000, durationMs,
	};
	const others = runCallers(task);
	const newcomers = runCallers({
		...task, prefix: 'new', callers: 3, keepsConnections: false,
	});
	await sleep(durationMs / 4);
	const burst = await runCallers({
		...task, prefix: 'burst', callers: size, keepsConnections: false, durationMs: 0,
	});
	for (const [name, reports] of [['the burst', burst], ['other callers', await others], ['other callers on new connections', await newcomers]] as const) {
		const overdue = reports.filter(({heldMs}) => heldMs > (timeoutSeconds * msPerSecond) + maxOverdueMs);
		const longestMs = Math.max(...reports.map(({heldMs}) => heldMs));
		t.diagnostic(`${name}: ${overdue.length} of ${reports.length} overdue, the longest held for ${Math.round(longestMs)} ms`);
		assert.deepEqual(reports.filter(({status}) => status <= 0), [], `${name}: without an answer`);
		assert.ok(overdue.length < maxOverdueCount || overdue.length <= maxOverdueShare * reports.length, `${name}: ${overdue.length} of ${reports.length} are overdue`);
	}
}
