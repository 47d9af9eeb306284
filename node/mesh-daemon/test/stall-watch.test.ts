import assert from 'node:assert/strict';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {StallWatch, type Stall} from '../src/stall-watch.js';

// A node that was ready took no new connections for seconds, and its log did not say whether it had run at all.
test('a time in which the process handled nothing is reported', async t => {
	const stalls: Stall[] = [];
	const clock = new SystemClock();
	const watch = new StallWatch({
		clock, onStall(stall) {
			stalls.push(stall);
		},
	});
	t.after(() => {
		watch.close();
	});
	await sleep(300);
	assert.deepEqual(stalls, []);
	const endMs = clock.readTimestamp().monotonicMs + 1000;
	while (clock.readTimestamp().monotonicMs < endMs) {
		// Keeps the process busy.
	}

	await sleep(50);
	assert.equal(stalls.length, 1);
	const {lateMs, processorMs, sinceMs, heapShare} = stalls[0]!;
	assert.ok(lateMs >= 500, `${lateMs} ms`);
	assert.ok(processorMs >= 500 && processorMs <= 2 * sinceMs, `${processorMs} of ${sinceMs} ms`);
	assert.ok(heapShare > 0 && heapShare < 1, String(heapShare));
});
