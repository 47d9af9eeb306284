import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import fc from 'fast-check';
import {drawDelay} from '../src/backoff.js';
import {LatencyWindow} from '../src/latency-window.js';
import {RetryBudget} from '../src/retry-budget.js';

test('in any order of requests and failures, extra attempts stay within a tenth of the first ones', () => {
	fc.assert(fc.property(fc.array(fc.boolean(), {maxLength: 2000}), fails => {
		const budget = new RetryBudget();
		let spent = 0;
		for (const [index, isFailed] of fails.entries()) {
			budget.noteFirstAttempt();
			const wanted = isFailed ? 3 : 0;
			for (let extra = 0; extra < wanted; extra++) {
				spent += budget.spend() ? 1 : 0;
			}

			assert.ok(spent <= (index + 1) * 0.1);
		}
	}), {seed: 7, numRuns: 200});
});

test('delays are drawn from all of a range that doubles up to a bound', () => {
	const random = new SeededRandom(1);
	for (const [retries, bound] of [[0, 10], [3, 80], [20, 400]] as const) {
		const drawn = Array.from({length: 500}, () => drawDelay(retries, random));
		assert.ok(drawn.every(delayMs => delayMs >= 0 && delayMs < bound));
		assert.ok(Math.min(...drawn) < bound * 0.05 && Math.max(...drawn) > bound * 0.95);
	}
});

test('the delay of a hedge follows a high percentile and is not pushed up by one slow backend server of four', () => {
	const window = new LatencyWindow();
	assert.equal(window.estimateHedgeDelay(), undefined);
	for (let index = 0; index < 256; index++) {
		window.record(index % 4 === 0 ? 100 : 10);
	}

	assert.equal(window.estimateHedgeDelay(), 40);
});
