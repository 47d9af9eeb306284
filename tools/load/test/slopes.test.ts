import assert from 'node:assert/strict';
import {test} from 'node:test';
import {estimateLine} from '../src/line.js';
import {measureMap, measureMessages} from '../src/slopes-samples.js';

test('the fitted line goes through collinear points', () => {
	const line = estimateLine([1, 2, 4].map(size => ({size, value: 3 + (2 * size)})));
	assert.ok(Math.abs(line.slope - 2) < 1e-9 && Math.abs(line.intercept - 3) < 1e-9);
});

test('the encoded routing table grows by less than two bytes per partition, and the size of a heartbeat does not depend on the number of members', () => {
	const growth = (measureMap(2048, 40)['wire bytes'] ?? 0) - (measureMap(1024, 40)['wire bytes'] ?? 0);
	assert.ok(growth > 0 && growth < 2048);
	assert.equal(measureMessages(10)['heartbeat bytes'], measureMessages(40)['heartbeat bytes']);
});
