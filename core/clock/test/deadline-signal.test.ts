import assert from 'node:assert/strict';
import test from 'node:test';
import {DeadlineSignal} from '../src/deadline-signal.js';
import {ManualClock} from '../src/manual-clock.js';

test('the signal aborts after its time, or with its source if that is earlier, and not once it is closed', () => {
	const clock = new ManualClock();
	const source = new AbortController();
	const late = new DeadlineSignal(clock, 100, source.signal);
	const early = new DeadlineSignal(clock, 50, source.signal);
	const closed = new DeadlineSignal(clock, 50, source.signal);
	closed.close();
	clock.advance(60);
	assert.deepEqual([late, early, closed].map(({signal}) => signal.aborted), [false, true, false]);
	source.abort(new Error('the caller left'));
	assert.deepEqual([late, closed].map(({signal}) => signal.aborted), [true, false]);
	assert.match(String(late.signal.reason), /the caller left/v);
	assert.equal(new DeadlineSignal(clock, 50, source.signal).signal.aborted, true);
});
