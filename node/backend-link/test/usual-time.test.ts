import assert from 'node:assert/strict';
import test from 'node:test';
import {UsualTime} from '../src/usual-time.js';

test('the first answers set the usual time', () => {
	const time = new UsualTime();
	for (const tookMs of [80, 100, 120]) {
		time.note(tookMs);
	}

	assert.equal(Math.round(time.readMs()), 100);
});

test('a spell in which runs take three times as long hardly shows, a lasting slowness does', () => {
	const time = new UsualTime();
	const perS = 130;
	const noteRuns = (seconds: number, tookMs: number): void => {
		for (let run = 0; run < perS * seconds; run++) {
			time.note(tookMs);
		}
	};

	noteRuns(10, 60);
	noteRuns(0.4, 180);
	assert.ok(time.readMs() < 80, `${time.readMs()} ms`);
	noteRuns(6, 300);
	assert.ok(time.readMs() > 250, `${time.readMs()} ms`);
});
