import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Timestamp} from '@buckthornpoint/clock/clock.js';
import type {RequestClass} from '@buckthornpoint/types/configuration.js';
import fc from 'fast-check';
import {AdmissionQueue} from '../src/admission-queue.js';
import {ConcurrencyLimit} from '../src/concurrency-limit.js';

const slots = 18;
const coldConcurrency = 3;
const stepMs = 50;

function createTimestamp(monotonicMs: number): Timestamp {
	return {monotonicMs, wallMs: monotonicMs};
}

/** Records `count` intervals of responses with the same latency at full utilization. Returns the time after the last one. */
function runIntervals(limit: ConcurrencyLimit, startMs: number, opts: {readonly count: number; readonly latencyMs: number}): number {
	let nowMs = startMs;
	for (let interval = 0; interval < opts.count; interval++) {
		const running = limit.getLimit();
		for (let answer = 0; answer < Math.max(20, running * 2); answer++) {
			limit.recordResponse(opts.latencyMs, running, createTimestamp(nowMs));
		}

		nowMs += stepMs;
	}

	return nowMs;
}

test('the limit of a new backend server starts at the cold limit and grows with responses and time up to its slots', () => {
	const limit = new ConcurrencyLimit({slots, coldConcurrency}, createTimestamp(0));
	assert.equal(limit.getLimit(), coldConcurrency);
	let nowMs = runIntervals(limit, 0, {count: 10, latencyMs: 10});
	assert.ok(limit.getLimit() <= coldConcurrency + 5);
	nowMs = runIntervals(limit, nowMs, {count: 200, latencyMs: 10});
	assert.equal(limit.getLimit(), slots);
	assert.equal(limit.isCold(), false);
});

test('a limit that is not utilized does not grow', () => {
	const limit = new ConcurrencyLimit({slots, coldConcurrency}, createTimestamp(0));
	for (let answer = 0; answer < 1000; answer++) {
		limit.recordResponse(10, 1, createTimestamp(answer * stepMs));
	}

	assert.equal(limit.getLimit(), coldConcurrency);
});

test('the limit returns to the cold limit when responses become several times slower', () => {
	const limit = new ConcurrencyLimit({slots, coldConcurrency}, createTimestamp(0));
	const nowMs = runIntervals(limit, 0, {count: 200, latencyMs: 10});
	runIntervals(limit, nowMs, {count: 3, latencyMs: 80});
	assert.ok(limit.isCold());
	assert.ok(limit.getLimit() <= coldConcurrency);
});

test('the limit stays between 1 and the slots for any sequence of responses and refusals', () => {
	const step = fc.record({
		latencyMs: fc.double({min: 0, max: 10_000, noNaN: true}), running: fc.nat(30), waitMs: fc.nat(500), isRefused: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 300}), fc.integer({min: 1, max: 20}), fc.integer({min: 1, max: 40}), (steps, bound, cold) => {
		const limit = new ConcurrencyLimit({slots: bound, coldConcurrency: cold}, createTimestamp(0));
		let nowMs = 0;
		for (const {latencyMs, running, waitMs, isRefused} of steps) {
			nowMs += waitMs;
			if (isRefused) {
				limit.recordRefusal(createTimestamp(nowMs));
			} else {
				limit.recordResponse(latencyMs, running, createTimestamp(nowMs));
			}

			assert.ok(limit.getLimit() >= 1 && limit.getLimit() <= bound);
		}
	}), {seed: 3, numRuns: 300});
});

test('while all classes wait, interactive requests are served most and service-to-service requests do not starve', () => {
	const queue = new AdmissionQueue<RequestClass>(1000);
	const classes: readonly RequestClass[] = ['service-to-service', 'transactional', 'interactive'];
	for (let index = 0; index < 200; index++) {
		for (const requestClass of classes) {
			queue.add({item: requestClass, requestClass});
		}
	}

	const served = Array.from({length: 130}, () => queue.pick());
	const counts = classes.map(requestClass => served.filter(item => item === requestClass).length);
	assert.deepEqual(counts, [10, 40, 80]);
});

test('a full queue removes the newest request of the lowest class', () => {
	const queue = new AdmissionQueue<string>(2);
	queue.add({item: 'check', requestClass: 'service-to-service'});
	queue.add({item: 'invoice', requestClass: 'transactional'});
	assert.equal(queue.add({item: 'lookup', requestClass: 'interactive'}), 'check');
	assert.equal(queue.add({item: 'check-2', requestClass: 'service-to-service'}), 'check-2');
	assert.equal(queue.count(), 2);
});

test('a single stall that slows down all running requests does not count as a cold start', () => {
	const limit = new ConcurrencyLimit({slots, coldConcurrency}, createTimestamp(0));
	const nowMs = runIntervals(limit, 0, {count: 200, latencyMs: 10});
	for (let answer = 0; answer < 3 * slots; answer++) {
		limit.recordResponse(80, slots, createTimestamp(nowMs + 1));
	}

	assert.equal(limit.isCold(), false);
	assert.ok(limit.getLimit() >= (slots * 0.9) - 1);
});
