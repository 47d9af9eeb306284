import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {ConcurrencyLimit} from '../src/concurrency-limit.js';

test('the limit of a backend server with a latency of a few milliseconds does not fall when some responses take twice as long', () => {
	const clock = new ManualClock();
	const limit = new ConcurrencyLimit({slots: 18, coldConcurrency: 4}, clock.readTimestamp());
	for (let answer = 0; answer < 2000; answer++) {
		clock.advance(10);
		limit.recordResponse(answer % 40 < 20 ? 1.3 : 3, limit.getLimit(), clock.readTimestamp());
	}

	assert.equal(limit.getLimit(), 18);
});
