import assert from 'node:assert/strict';
import test from 'node:test';
import {MeanServiceTime} from '../src/mean-service-time.js';

test('the first answers determine the mean service time', () => {
	const meanTime = new MeanServiceTime();
	for (const tookMs of [80, 100, 120]) {
		meanTime.record(tookMs);
	}

	assert.equal(Math.round(meanTime.readMs()), 100);
});

test('a short phase of triple execution times has little effect, a lasting one has', () => {
	const meanTime = new MeanServiceTime();
	const requestsPerSecond = 130;
	const recordRequests = (seconds: number, tookMs: number): void => {
		for (let run = 0; run < requestsPerSecond * seconds; run++) {
			meanTime.record(tookMs);
		}
	};

	recordRequests(10, 60);
	recordRequests(0.4, 180);
	assert.ok(meanTime.readMs() < 80, `${meanTime.readMs()} ms`);
	recordRequests(6, 300);
	assert.ok(meanTime.readMs() > 250, `${meanTime.readMs()} ms`);
});
