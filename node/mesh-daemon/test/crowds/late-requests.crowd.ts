import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {startFleet} from './check-fleet.js';
import type {ReceivedAnswer} from './loopback.js';

// In a planned stop, requests that come late in the grace time must not be passed on and then cut off at its end: each is answered or
// refused, or its connection is refused before anything of it is read.

const testTimeoutMs = 120_000;
const workMs = 1500;
const timeoutSeconds = 3;
const intervalMs = 25;

/** Longer than the grace time of 6 s. */
const sendingMs = 8000;

for (const [name, index] of [['the entry node', 0], ['the node of the server', 1]] as const) {
	test(`no request is cut off in a planned stop of ${name}, however late it comes`, {timeout: testTimeoutMs}, async t => {
		const fleet = await startFleet(t, {
			bodyBytes: 1000, slots: 100, timeoutSeconds, workMs,
		});
		const sent: Array<Promise<ReceivedAnswer & {readonly requestId: string}>> = [];
		const endMs = performance.now() + sendingMs;
		let isStopping = false;
		while (performance.now() < endMs) {
			sent.push(fleet.sendJob(Buffer.from('a job')));
			await sleep(intervalMs);
			if (!isStopping && sent.length > 20) {
				isStopping = true;
				fleet.nodes[index]!.stop();
			}
		}

		const results = await Promise.all(sent);
		const counts = new Map<string, number>();
		for (const {status, code} of results) {
			const kind = status === 0 ? code ?? 'cut off' : String(status);
			counts.set(kind, (counts.get(kind) ?? 0) + 1);
		}

		t.diagnostic([...counts].map(([kind, count]) => `${kind}: ${count}`).join(', '));
		assert.deepEqual([...counts.keys()].filter(kind => !['200', '503', 'ECONNREFUSED'].includes(kind)), []);
		assert.ok((counts.get('200') ?? 0) > 0 && (counts.get('503') ?? 0) > 0);
		// A refusal says that the request has not run.
		const runIds = new Set(fleet.runs.map(({requestId}) => requestId));
		assert.deepEqual(results.filter(({status, requestId}) => status === 503 && runIds.has(requestId)), []);
	});
}
