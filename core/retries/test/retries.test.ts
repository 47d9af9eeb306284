import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import fc from 'fast-check';
import {generateRetryDelay} from '../src/backoff.js';
import {LatencyWindow} from '../src/latency-window.js';
import {RetryBudget} from '../src/retry-budget.js';

test('for any order of requests and failures, there is at most one extra attempt for ten first attempts', () => {
	fc.assert(fc.property(fc.array(fc.boolean(), {maxLength: 2000}), failures => {
		const budget = new RetryBudget();
		let consumed = 0;
		for (const [index, isFailed] of failures.entries()) {
			budget.recordFirstAttempt();
			const wanted = isFailed ? 3 : 0;
			for (let extra = 0; extra < wanted; extra++) {
				consumed += budget.consume() ? 1 : 0;
			}

			assert.ok(consumed <= (index + 1) * 0.1);
		}
	}), {seed: 7, numRuns: 200});
});

test('delays cover the whole of a range that doubles up to a limit', () => {
	const random = new SeededRandom(1);
	for (const [retries, bound] of [[0, 10], [3, 80], [20, 400]] as const) {
		const delaysMs = Array.from({length: 500}, () => generateRetryDelay(retries, random));
		assert.ok(delaysMs.every(delayMs => delayMs >= 0 && delayMs < bound));
		assert.ok(Math.min(...delaysMs) < bound * 0.05 && Math.max(...delaysMs) > bound * 0.95);
	}
});

test('the hedging delay follows a high percentile and is limited when one of four backend servers is slow', () => {
	const window = new LatencyWindow();
	assert.equal(window.estimateHedgeDelay(), undefined);
	for (let index = 0; index < 256; index++) {
		window.record(index % 4 === 0 ? 100 : 10);
	}

	assert.equal(window.estimateHedgeDelay(), 40);
});
