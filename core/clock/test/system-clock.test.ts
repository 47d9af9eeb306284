import assert from 'node:assert/strict';
import test from 'node:test';
import {SystemClock} from '../src/system-clock.js';

test('a delay that is too long for a timer of the runtime does not fire at once', async () => {
	const clock = new SystemClock();
	let hasFired = false;
	const timer = clock.startTimer(1e300, () => {
		hasFired = true;
	});
	await clock.sleep(30);
	timer.close();
	assert.equal(hasFired, false);
});
