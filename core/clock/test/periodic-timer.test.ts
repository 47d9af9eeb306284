import assert from 'node:assert/strict';
import test from 'node:test';
import type {Timer} from '../src/clock.js';
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

/** A clock that forgets timers on request. */
class ForgetfulClock extends ManualClock {
	isForgetting = false;

	override startTimer(delayMs: number, callback: () => void): Timer {
		return this.isForgetting ? {close: () => undefined} : super.startTimer(delayMs, callback);
	}
}

// The controller of a fleet had lost its timer: it went on as the controller and did not renew its lease.
test('a lost timer is started again, and one that is pending is left alone', () => {
	const clock = new ForgetfulClock();
	let calls = 0;
	const timer = new PeriodicTimer(clock, 100, () => {
		calls++;
	});
	clock.isForgetting = true;
	clock.advance(100);
	clock.isForgetting = false;
	clock.advance(1000);
	timer.refresh();
	clock.advance(100);
	assert.equal(calls, 1);
	clock.advance(1);
	timer.refresh();
	clock.advance(100);
	assert.equal(calls, 2);
	timer.close();
	clock.advance(5000);
	timer.refresh();
	clock.advance(500);
	assert.equal(calls, 2);
});
