import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Timestamp} from '@buckthornpoint/clock/clock.js';
import {createNotRunFailure, type RequestAnswer} from '@buckthornpoint/types/requests.js';
import fc from 'fast-check';
import {OutcomeTable, type RequestAttempt} from '../src/outcome-table.js';

const opts = {
	windowMs: 1000, maxSkewMs: 10, maxEntries: 8, maxBytes: 100,
};
const startMs = 1_700_000_000_000;

function createInstant(elapsedMs: number): Timestamp {
	return {monotonicMs: elapsedMs, wallMs: startMs + elapsedMs};
}

function createId(elapsedMs: number, serial: number): string {
	const time = (startMs + elapsedMs).toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${serial.toString(16).padStart(12, '0')}`;
}

function createAttempt(requestId: string, attempt = 1, fingerprint = 'f'): RequestAttempt {
	return {requestId, attempt, fingerprint};
}

function createAnswer(requestId: string, length = 10): RequestAnswer {
	return {
		kind: 'answer', requestId, status: 200, headers: [], body: new Uint8Array(length),
	};
}

test('an id whose request is running or has run is not admitted again', () => {
	const record = new OutcomeTable(opts);
	const request = createAttempt(createId(0, 1));
	assert.equal(record.admit(request, createInstant(0)).kind, 'begun');
	assert.equal(record.admit({...request, attempt: 2}, createInstant(1)).kind, 'running');
	record.complete(request, createAnswer(request.requestId), createInstant(2));
	assert.deepEqual(record.admit(request, createInstant(3)), {kind: 'finished', result: createAnswer(request.requestId)});
	assert.equal(record.admit(createAttempt(request.requestId, 1, 'other'), createInstant(3)).kind, 'reused');
});

test('a refusal applies to the refused attempt and to earlier attempts that arrive later', () => {
	const record = new OutcomeTable(opts);
	const requestId = createId(0, 1);
	record.admit(createAttempt(requestId, 2), createInstant(0));
	record.complete(createAttempt(requestId, 2), createNotRunFailure(requestId, 'overloaded', ''), createInstant(1));
	assert.deepEqual(record.admit(createAttempt(requestId, 1), createInstant(2)).kind, 'refused');
	assert.equal(record.admit(createAttempt(requestId, 3), createInstant(2)).kind, 'begun');
});

test('a request whose id is not a UUIDv7 or was issued in the future never runs', () => {
	const record = new OutcomeTable(opts);
	assert.equal(record.admit(createAttempt('order-17'), createInstant(0)).kind, 'invalid-id');
	assert.equal(record.admit(createAttempt(createId(11, 1)), createInstant(0)).kind, 'unknown');
	assert.equal(record.admit(createAttempt(createId(10, 1)), createInstant(0)).kind, 'begun');
});

test('for any order of attempts, results and waits, an id is admitted at most once unless it is proved not to have run', () => {
	const step = fc.record({
		serial: fc.nat(20), attempt: fc.integer({min: 1, max: 3}), waitMs: fc.nat(400), end: fc.constantFrom('answer', 'not-run', 'none'),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 80}), steps => {
		const record = new OutcomeTable(opts);
		const mayHaveRun = new Set<string>();
		const refused = new Map<string, number>();
		let elapsedMs = 0;
		for (const {serial, attempt, waitMs, end} of steps) {
			elapsedMs += waitMs;
			const request = createAttempt(createId(serial * 100, serial), attempt);
			if (record.admit(request, createInstant(elapsedMs)).kind === 'begun') {
				assert.ok(!mayHaveRun.has(request.requestId));
				assert.ok(attempt > (refused.get(request.requestId) ?? 0));
				mayHaveRun.add(request.requestId);
			} else {
				continue;
			}

			if (end === 'answer') {
				record.complete(request, createAnswer(request.requestId, 40), createInstant(elapsedMs));
			} else if (end === 'not-run') {
				record.complete(request, createNotRunFailure(request.requestId, 'overloaded', ''), createInstant(elapsedMs));
				mayHaveRun.delete(request.requestId);
				refused.set(request.requestId, attempt);
			}
		}
	}), {seed: 5, numRuns: 500});
});

test('the number of ids and the total size of answers are bounded', () => {
	const record = new OutcomeTable(opts);
	for (let serial = 0; serial < 50; serial++) {
		const request = createAttempt(createId(serial, serial));
		record.admit(request, createInstant(serial));
		record.complete(request, createAnswer(request.requestId, 60), createInstant(serial));
	}

	assert.ok(record.countEntries() <= opts.maxEntries + 1);
	assert.equal(record.admit(createAttempt(createId(0, 0)), createInstant(50)).kind, 'unknown');
	assert.deepEqual(record.findOutcome(createId(48, 48), createInstant(50)), {state: 'finished', result: undefined});
});
