import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {TransitMeter} from '../src/transit-meter.js';

test('the delay of a message is measured whatever the offset between the clocks', () => {
	fc.assert(fc.property(fc.integer({min: -1_000_000, max: 1_000_000}), fc.integer({min: 0, max: 5000}), (offsetMs, heldUpMs) => {
		const meter = new TransitMeter();
		meter.measureDelay(1000, 1002 + offsetMs);
		assert.equal(meter.measureDelay(2000, 2002 + offsetMs + heldUpMs), heldUpMs);
		assert.equal(meter.measureDelay(3000, 3002 + offsetMs), 0);
	}));
});

test('clock drift over a day is not measured as a delay', () => {
	const meter = new TransitMeter();
	for (let second = 0; second < 86_400; second++) {
		const delayMs = meter.measureDelay(second * 1000, (second * 1000) + (second * 0.1));
		assert.ok(delayMs < 10, `${delayMs} ms after ${second} s`);
	}
});
