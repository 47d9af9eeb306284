import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Moment} from '@buckthornpoint/clock/clock.js';
import {createNotRun, type RequestAnswer} from '@buckthornpoint/types/requests.js';
import fc from 'fast-check';
import {OutcomeRecord, type Sending} from '../src/outcome-record.js';

const opts = {
	windowMs: 1000, maxSkewMs: 10, maxEntries: 8, maxBytes: 100,
};
const startMs = 1_700_000_000_000;

function createMoment(elapsedMs: number): Moment {
	return {monotonicMs: elapsedMs, wallMs: startMs + elapsedMs};
}

function createId(elapsedMs: number, serial: number): string {
	const time = (startMs + elapsedMs).toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${serial.toString(16).padStart(12, '0')}`;
}

function createSending(requestId: string, attempt = 1, fingerprint = 'f'): Sending {
	return {requestId, attempt, fingerprint};
}

function createAnswer(requestId: string, length = 10): RequestAnswer {
	return {
		kind: 'answer', requestId, status: 200, headers: [], body: new Uint8Array(length),
	};
}

test('an id that runs or ran is not admitted again', () => {
	const record = new OutcomeRecord(opts);
	const sending = createSending(createId(0, 1));
	assert.equal(record.admit(sending, createMoment(0)).kind, 'begun');
	assert.equal(record.admit({...sending, attempt: 2}, createMoment(1)).kind, 'running');
	record.complete(sending, createAnswer(sending.requestId), createMoment(2));
	assert.deepEqual(record.admit(sending, createMoment(3)), {kind: 'finished', result: createAnswer(sending.requestId)});
	assert.equal(record.admit(createSending(sending.requestId, 1, 'other'), createMoment(3)).kind, 'reused');
});

test('a refusal holds for the sending that was refused and for earlier ones that arrive late', () => {
	const record = new OutcomeRecord(opts);
	const requestId = createId(0, 1);
	record.admit(createSending(requestId, 2), createMoment(0));
	record.complete(createSending(requestId, 2), createNotRun(requestId, 'overloaded', ''), createMoment(1));
	assert.deepEqual(record.admit(createSending(requestId, 1), createMoment(2)).kind, 'refused');
	assert.equal(record.admit(createSending(requestId, 3), createMoment(2)).kind, 'begun');
});

test('an id that is no UUIDv7, or lies in the future, never runs', () => {
	const record = new OutcomeRecord(opts);
	assert.equal(record.admit(createSending('order-17'), createMoment(0)).kind, 'invalid-id');
	assert.equal(record.admit(createSending(createId(11, 1)), createMoment(0)).kind, 'unknown');
	assert.equal(record.admit(createSending(createId(10, 1)), createMoment(0)).kind, 'begun');
});

test('under any order of sendings, ends and time, an id begins at most once unless it is proved not to have run', () => {
	const step = fc.record({
		serial: fc.nat(20), attempt: fc.integer({min: 1, max: 3}), waitMs: fc.nat(400), end: fc.constantFrom('answer', 'not-run', 'none'),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 80}), steps => {
		const record = new OutcomeRecord(opts);
		const mayHaveRun = new Set<string>();
		const refused = new Map<string, number>();
		let elapsedMs = 0;
		for (const {serial, attempt, waitMs, end} of steps) {
			elapsedMs += waitMs;
			const sending = createSending(createId(serial * 100, serial), attempt);
			if (record.admit(sending, createMoment(elapsedMs)).kind === 'begun') {
				assert.ok(!mayHaveRun.has(sending.requestId));
				assert.ok(attempt > (refused.get(sending.requestId) ?? 0));
				mayHaveRun.add(sending.requestId);
			} else {
				continue;
			}

			if (end === 'answer') {
				record.complete(sending, createAnswer(sending.requestId, 40), createMoment(elapsedMs));
			} else if (end === 'not-run') {
				record.complete(sending, createNotRun(sending.requestId, 'overloaded', ''), createMoment(elapsedMs));
				mayHaveRun.delete(sending.requestId);
				refused.set(sending.requestId, attempt);
			}
		}
	}), {seed: 5, numRuns: 500});
});

test('the number of ids and the bytes of answers are bounded', () => {
	const record = new OutcomeRecord(opts);
	for (let serial = 0; serial < 50; serial++) {
		const sending = createSending(createId(serial, serial));
		record.admit(sending, createMoment(serial));
		record.complete(sending, createAnswer(sending.requestId, 60), createMoment(serial));
	}

	assert.ok(record.countEntries() <= opts.maxEntries + 1);
	assert.equal(record.admit(createSending(createId(0, 0)), createMoment(50)).kind, 'unknown');
	assert.deepEqual(record.findOutcome(createId(48, 48), createMoment(50)), {state: 'finished', result: undefined});
});
