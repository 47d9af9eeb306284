import assert from 'node:assert/strict';
import test from 'node:test';
import type {StandInRun} from '@buckthornpoint/fleet-stand-in/run-observer.js';
import {checkDrain} from '../src/check-drain.js';
import {Disruptions, type DisruptionTarget} from '../src/disruptions.js';
import type {RequestRecord} from '../src/requests.js';
import {routes} from '../src/workload.js';

const leftAtMs = new Map([['server-1', 10_000]]);

/** A request that was sent to node 0 and reached server-1, beside node 1. */
function createRecord(startMs: number): RequestRecord {
	const run: StandInRun = {
		requestId: 'a', backendId: 'server-1', service: 'stock', key: 1, callerService: 'stock', method: 'GET', path: '/', body: '', begunMs: startMs + 5, hold: undefined,
	};
	return {
		request: {
			id: 'a', route: routes[0]!, key: 1, isChunked: false, bodyPauseMs: 0, entry: 0, callerService: 'stock', startMs,
		},
		runs: [{run, node: 1}],
	};
}

test('a request that reaches a server more than two seconds after its leave was acknowledged is a violation', () => {
	assert.deepEqual(checkDrain(createRecord(12_000), leftAtMs, []), []);
	assert.deepEqual(checkDrain(createRecord(12_001), leftAtMs, []).map(({rule}) => rule), ['drain']);
});

test('nodes that were disrupted lately are excused, and a disruption of the store excuses all but the node that acknowledged', () => {
	const hasViolation = (target: DisruptionTarget, record: RequestRecord): boolean => {
		const disruptions = new Disruptions();
		disruptions.open(target, 10_000).close(12_000);
		return checkDrain(record, leftAtMs, [disruptions]).length > 0;
	};

	const record = createRecord(14_900);
	assert.deepEqual(([0, 1, 2, 'store', 'driver'] as const).map(target => hasViolation(target, record)), [false, false, true, false, false]);
	assert.equal(hasViolation(1, createRecord(15_100)), true);
	assert.equal(hasViolation('store', {...record, request: {...record.request, entry: 1}}), true);
});
