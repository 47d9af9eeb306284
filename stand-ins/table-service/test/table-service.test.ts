import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {HttpTableStore} from '@buckthornpoint/table-store/http-table-store.js';
import {request} from 'undici';
import {noFaults} from '../src/faults.js';
import {TableService} from '../src/table-service.js';

const clock = new ManualClock();
const service = new TableService(clock);
let origin = '';
let store: HttpTableStore;

before(async () => {
	origin = await service.open();
	store = new HttpTableStore(origin);
});

after(async () => {
	await store.close();
	await service.close();
});

test('a write whose answer is lost has taken effect, and its outcome is reported as unknown', async () => {
	service.setFaults({loseAnswers: 1});
	const lost = await store.commitTransaction({writeId: 'w-1', conditions: [{key: 'a', version: 0}], writes: [{key: 'a', value: 1}]});
	assert.equal(lost._unsafeUnwrapErr().kind, 'outcome-unknown');
	const row = await store.readRow('a');
	assert.equal(row._unsafeUnwrap()?.writeId, 'w-1');
});

test('of two writes with a condition on the same version, one is refused', async () => {
	const conditions = [{key: 'b', version: 0}];
	const results = await Promise.all(['x', 'y'].map(async writeId => store.commitTransaction({writeId, conditions, writes: [{key: 'b', value: writeId}]})));
	assert.equal(results.filter(result => result.isOk()).length, 1);
});

test('writes beyond the limit per second are refused until the next second', async () => {
	clock.advance(1000);
	service.setFaults({maxWritesPerSecond: 1});
	const write = {writeId: 'w', conditions: [], writes: [{key: 'c', value: 1}]};
	const first = await store.commitTransaction(write);
	const second = await store.commitTransaction(write);
	clock.advance(1000);
	const third = await store.commitTransaction(write);
	assert.deepEqual([first, second, third].map(result => result.isOk()), [true, false, true]);
	service.setFaults(noFaults);
});

test('the service can be made unavailable over HTTP, and rejects a malformed update of the faults', async () => {
	await request(`${origin}/v1/faults`, {method: 'PUT', body: '{"down":true}'});
	const read = await store.readRow('a');
	assert.equal(read._unsafeUnwrapErr().kind, 'unavailable');
	await request(`${origin}/v1/faults`, {method: 'PUT', body: '{"down":false}'});
	const refused = await request(`${origin}/v1/faults`, {method: 'PUT', body: '{"down":"yes"}'});
	assert.equal(refused.statusCode, 400);
});
