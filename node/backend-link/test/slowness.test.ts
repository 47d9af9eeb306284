import assert from 'node:assert/strict';
import test from 'node:test';
import {Slowness} from '../src/slowness.js';

test('a briefly slow machine counts as slow until the reported value expires', () => {
	const slowness = new Slowness();
	assert.equal(slowness.readFactor(0), 1);
	slowness.record(3, 1000);
	assert.ok(slowness.readFactor(1100) > 2.5);
	assert.equal(slowness.readFactor(2000), 1);
});

test('a machine that is always slow has a factor of 1', () => {
	const slowness = new Slowness();
	for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
		slowness.record(3, nowMs);
	}

	assert.ok(Math.abs(slowness.readFactor(10_000) - 1) < 0.01);
});
