import assert from 'node:assert/strict';
import {getEventListeners} from 'node:events';
import {test} from 'node:test';
import {ManualClock} from '../src/manual-clock.js';

test('a completed sleep leaves no listener on its signal', async () => {
	const clock = new ManualClock();
	const {signal} = new AbortController();
	const slept = clock.sleep(10, signal);
	clock.advance(10);
	await slept;
	assert.equal(getEventListeners(signal, 'abort').length, 0);
});
