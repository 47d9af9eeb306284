import assert from 'node:assert/strict';
import test from 'node:test';
import {decodeControllerRecord} from '../src/controller-record.js';

const written = {
	epoch: 3, vmId: 'vm-1', incarnation: 'run-1', address: '10.0.0.1:1', untilMs: 5000, leasesEndMs: 30_000,
};

test('a row of a node that knew one bound for all controllers is read, with that bound for the earlier ones', () => {
	assert.deepEqual(decodeControllerRecord(JSON.stringify(written))._unsafeUnwrap(), {...written, earlierLeasesEndMs: 30_000});
});

test('a row that says how long earlier leases run is read as it is, and a malformed one is not', () => {
	const record = {...written, earlierLeasesEndMs: 7000};
	assert.deepEqual(decodeControllerRecord(JSON.stringify(record))._unsafeUnwrap(), record);
	assert.ok(decodeControllerRecord('{').isErr());
	assert.ok(decodeControllerRecord(JSON.stringify({...record, epoch: 'three'})).isErr());
});
