import assert from 'node:assert/strict';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCallers, type CallerTask} from './caller-threads.js';
import {startFleet} from './check-fleet.js';
import {routeHost} from './fleet-processes.js';

const testTimeoutMs = 60_000;

/** Time in which the nodes collect garbage several times. */
const loadMs = 8000;

/** Times of the operator's target: the store's connections fail this long before the change, and a change is in force after this. */
const contactMs = 3000;
const applyMs = 2000;

// The timer of a watch was lost in a garbage collection: on a silent connection it waited for ever, and an added route was never served.
test('a route that was added while the watches of the store are silent is served in time', {timeout: testTimeoutMs}, async t => {
	const fleet = await startFleet(t, {bodyBytes: 1000, slots: 100, timeoutSeconds: 1});
	const task: CallerTask = {
		address: fleet.entry.callers, host: routeHost, method: 'POST', path: '/jobs/1', prefix: 'load', callers: 40, keepsConnections: true, deadlineMs: 1000, patienceMs: 2000, durationMs: loadMs,
	};
	const load = runCallers({...task, durationMs: loadMs + contactMs});
	await sleep(loadMs);
	fleet.stopStoreAnswers();
	await load;
	fleet.addRoute('added.example');
	await sleep(applyMs);
	const [answer] = await runCallers({
		...task, prefix: 'added', host: 'added.example', callers: 1, durationMs: 0,
	});
	assert.equal(answer?.status, 200);
});
