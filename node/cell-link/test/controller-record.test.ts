import assert from 'node:assert/strict';
import test from 'node:test';
import {decodeControllerRecord} from '../src/controller-record.js';

const withoutEarlierBound = {
	epoch: 3, vmId: 'vm-1', incarnation: 'run-1', address: '10.0.0.1:1', untilMs: 5000, leasesEndMs: 30_000,
};

/** Rows of earlier releases state no eras. */
const withoutEras = {
	...withoutEarlierBound, era: 0, mapsEra: 0, lostEpoch: 0,
};

test('a row without a bound for earlier leases is decoded with the bound for all leases', () => {
	assert.deepEqual(decodeControllerRecord(JSON.stringify(withoutEarlierBound))._unsafeUnwrap(), {...withoutEras, earlierLeasesEndMs: 30_000});
});

test('a row with a bound for earlier leases is decoded unchanged, and a malformed row is rejected', () => {
	const record = {
		...withoutEras, era: 2, mapsEra: 1, lostEpoch: 10_003, earlierLeasesEndMs: 7000,
	};
	assert.deepEqual(decodeControllerRecord(JSON.stringify(record))._unsafeUnwrap(), record);
	assert.ok(decodeControllerRecord('{').isErr());
	assert.ok(decodeControllerRecord(JSON.stringify({...record, epoch: 'three'})).isErr());
});
