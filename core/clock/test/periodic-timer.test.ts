import assert from 'node:assert/strict';
import test from 'node:test';
import {ManualClock} from '../src/manual-clock.js';
import {PeriodicTimer} from '../src/periodic-timer.js';

// The periodic work of a node ended for good with the first error that it threw; the process lived on and counted as ready.
test('an error in one call does not end the calls that follow', () => {
	const clock = new ManualClock();
	let calls = 0;
	const timer = new PeriodicTimer(clock, 100, () => {
		calls++;
		if (calls === 1) {
			throw new Error('the first call fails');
		}
	});
	assert.throws(() => {
		clock.advance(100);
	}, /the first call fails/v);
	clock.advance(250);
	assert.equal(calls, 3);
	timer.close();
	clock.advance(500);
	assert.equal(calls, 3);
});
