import assert from 'node:assert/strict';
import test from 'node:test';
import {checkAvailability} from '../src/check-availability.js';
import type {RequestRecord} from '../src/requests.js';
import {routes} from '../src/workload.js';

function createRecord(entry: number, key: number, status: number): RequestRecord {
	return {
		request: {
			id: 'a1', route: routes[0]!, key, isChunked: false, bodyPauseMs: 0, entry, callerService: 'stock', startMs: 0,
		},
		end: {
			kind: 'answer', status, answeredId: 'a1', isSealed: true, body: '', atMs: 1, sentMs: 0,
		},
		runs: [],
	};
}

const served = Array.from({length: 50}, (_, index) => createRecord(index % 2, index, 200));

test('the fleet is available if each node, and each requested route and band of keys, has a success', () => {
	assert.equal(checkAvailability(served, 2), undefined);
});

test('nodes and keys without a success and a high share of failures are reported', () => {
	assert.equal(checkAvailability(served, 3), 'node 2');
	assert.equal(checkAvailability([...served, createRecord(0, 65_535, 503)], 2), 'keys from 61440');
	assert.equal(checkAvailability([...served, ...served.slice(0, 10).map(({request}) => createRecord(request.entry, request.key!, 503))], 2), '10 of 60 requests');
	assert.equal(checkAvailability([], 1), 'node 0');
});
