import assert from 'node:assert/strict';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCallers} from './caller-threads.js';
import {startFleet} from './check-fleet.js';
import {routeHost, type TestFleet} from './fleet-processes.js';

const testTimeoutMs = 60_000;
const msPerSecond = 1000;
const durationMs = 8000;

/** A node that is ready takes a new connection within this time. */
const contactMs = 3000;

/** Each caller gives up after a second and comes back on a new connection. */
const callers = 1000;
const patienceMs = 1000;

/** The node runs for a part of each tenth of a second, as with a share of a processor. */
const periodMs = 100;
const suspendedMs = 75;

// Connections are accepted one by one. The node accepted those whose callers had left, and served none of hundreds for seconds while it was ready.
test('a ready node with a share of a processor serves callers that give up and come back on new connections', {timeout: testTimeoutMs}, async t => {
	const fleet = await startFleet(t, {
		bodyBytes: 1000, slots: 100, timeoutSeconds: 0.8, workMs: 50,
	});
	const stop = new AbortController();
	const pulses = runInPulses(fleet, stop.signal);
	const reports = await runCallers({
		address: fleet.entry.callers, host: routeHost, method: 'POST', path: '/jobs/1', prefix: 'caller', callers, keepsConnections: false, deadlineMs: 1200, patienceMs, durationMs,
	});
	const isReady = await fleet.entry.isReady();
	stop.abort();
	await pulses;
	const startMs = Math.min(...reports.map(({sentMs, connectMs}) => sentMs - connectMs));
	const answeredMs = reports.filter(({status}) => status > 0).map(({sentMs, heldMs}) => sentMs + heldMs - startMs);
	const perSecond = Array.from({length: durationMs / msPerSecond}, (_each, second) => answeredMs.filter(ms => Math.floor(ms / msPerSecond) === second).length);
	t.diagnostic(`answered in each second: ${perSecond.join(' ')}`);
	assert.ok(isReady);
	for (let startSecond = 0; startSecond + (contactMs / msPerSecond) <= perSecond.length; startSecond++) {
		const answered = perSecond.slice(startSecond, startSecond + (contactMs / msPerSecond)).reduce((sum, count) => sum + count, 0);
		assert.ok(answered > 0, `${answered} answers in ${contactMs} ms, from second ${startSecond} on`);
	}
});

async function runInPulses(fleet: TestFleet, stop: AbortSignal): Promise<void> {
	while (!stop.aborted) {
		fleet.entry.setSuspended(true);
		await sleep(suspendedMs);
		fleet.entry.setSuspended(false);
		await sleep(periodMs - suspendedMs);
	}
}
