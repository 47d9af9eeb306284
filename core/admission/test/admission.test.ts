import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Moment} from '@buckthornpoint/clock/clock.js';
import type {RequestClass} from '@buckthornpoint/types/configuration.js';
import fc from 'fast-check';
import {AdmissionQueue} from '../src/admission-queue.js';
import {ConcurrencyLimit} from '../src/concurrency-limit.js';

const slots = 18;
const coldConcurrency = 3;
const stepMs = 50;

function createMoment(monotonicMs: number): Moment {
	return {monotonicMs, wallMs: monotonicMs};
}

/** Answers `count` intervals of requests that all take the same time, at full use. Returns the time after them. */
function runIntervals(limit: ConcurrencyLimit, startMs: number, opts: {readonly count: number; readonly latencyMs: number}): number {
	let nowMs = startMs;
	for (let interval = 0; interval < opts.count; interval++) {
		const running = limit.getLimit();
		for (let answer = 0; answer < Math.max(20, running * 2); answer++) {
			limit.noteAnswer(opts.latencyMs, running, createMoment(nowMs));
		}

		nowMs += stepMs;
	}

	return nowMs;
}

test('a fresh backend server starts at its cold limit and grows by evidence and time up to its slots', () => {
	const limit = new ConcurrencyLimit({slots, coldConcurrency}, createMoment(0));
	assert.equal(limit.getLimit(), coldConcurrency);
	let nowMs = runIntervals(limit, 0, {count: 10, latencyMs: 10});
	assert.ok(limit.getLimit() <= coldConcurrency + 5);
	nowMs = runIntervals(limit, nowMs, {count: 200, latencyMs: 10});
	assert.equal(limit.getLimit(), slots);
	assert.equal(limit.isCold(), false);
});

test('a limit that is not used does not grow', () => {
	const limit = new ConcurrencyLimit({slots, coldConcurrency}, createMoment(0));
	for (let answer = 0; answer < 1000; answer++) {
		limit.noteAnswer(10, 1, createMoment(answer * stepMs));
	}

	assert.equal(limit.getLimit(), coldConcurrency);
});

test('answers that become several times slower send the limit back to its cold start', () => {
	const limit = new ConcurrencyLimit({slots, coldConcurrency}, createMoment(0));
	const nowMs = runIntervals(limit, 0, {count: 200, latencyMs: 10});
	runIntervals(limit, nowMs, {count: 3, latencyMs: 80});
	assert.ok(limit.isCold());
	assert.ok(limit.getLimit() <= coldConcurrency);
});

test('whatever is answered or refused, the limit stays from 1 to the slots', () => {
	const step = fc.record({
		latencyMs: fc.double({min: 0, max: 10_000, noNaN: true}), running: fc.nat(30), waitMs: fc.nat(500), isRefused: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 300}), fc.integer({min: 1, max: 20}), fc.integer({min: 1, max: 40}), (steps, bound, cold) => {
		const limit = new ConcurrencyLimit({slots: bound, coldConcurrency: cold}, createMoment(0));
		let nowMs = 0;
		for (const {latencyMs, running, waitMs, isRefused} of steps) {
			nowMs += waitMs;
			if (isRefused) {
				limit.noteRefusal(createMoment(nowMs));
			} else {
				limit.noteAnswer(latencyMs, running, createMoment(nowMs));
			}

			assert.ok(limit.getLimit() >= 1 && limit.getLimit() <= bound);
		}
	}), {seed: 3, numRuns: 300});
});

test('while all classes wait, callers come first and service-to-service work is not starved', () => {
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

test('a full queue gives up the newest of the last class', () => {
	const queue = new AdmissionQueue<string>(2);
	queue.add({item: 'check', requestClass: 'service-to-service'});
	queue.add({item: 'invoice', requestClass: 'transactional'});
	assert.equal(queue.add({item: 'lookup', requestClass: 'interactive'}), 'check');
	assert.equal(queue.add({item: 'check-2', requestClass: 'service-to-service'}), 'check-2');
	assert.equal(queue.count(), 2);
});

test('one stall that makes all running requests slow at once is not taken for a cold start', () => {
	const limit = new ConcurrencyLimit({slots, coldConcurrency}, createMoment(0));
	const nowMs = runIntervals(limit, 0, {count: 200, latencyMs: 10});
	for (let answer = 0; answer < 3 * slots; answer++) {
		limit.noteAnswer(80, slots, createMoment(nowMs + 1));
	}

	assert.equal(limit.isCold(), false);
	assert.ok(limit.getLimit() >= (slots * 0.9) - 1);
});
