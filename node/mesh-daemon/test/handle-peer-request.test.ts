import assert from 'node:assert/strict';
import test from 'node:test';
import type {OwnerRequest} from '@buckthornpoint/backend-link/outcome.js';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import {handlePeerRequest, type PeerRequestOpts} from '../src/handle-peer-request.js';

const meta: Omit<OwnerRequest, 'body'> = {
	requestId: 'a', method: 'GET', path: '/', headers: [],
	key: 1, service: 's', route: 'r', callerService: 'c', priority: 1, isIdempotent: true, mayWait: true, remainingMs: 1000, targetMs: 200, lateMs: 600,
};

function handle(delayMs: number, endMs = Number.POSITIVE_INFINITY): {readonly admitted: readonly OwnerRequest[]; readonly answers: readonly unknown[]} {
	const admitted: OwnerRequest[] = [];
	const answers: unknown[] = [];
	const opts: PeerRequestOpts = {
		gate: {
			admit(request) {
				admitted.push(request);
				return {cancel: () => undefined};
			},
			readLoad: () => ({
				outstanding: 0, slots: 1, serviceMs: 1, slowness: 1, failureShare: 0,
			}),
		},
		log: new SilentLog(),
		clock: new ManualClock(),
		getRequestEndMs: () => endMs,
	};
	handlePeerRequest({meta, body: new Uint8Array(), delayMs}, answer => {
		answers.push(answer);
	}, opts);
	return {admitted, answers};
}

function getOutcome(answer: unknown): unknown {
	return (answer as {readonly outcome: unknown}).outcome; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

test('a request that was delayed for too long in transit is refused as not run, since its caller may have cancelled it', () => {
	const {admitted, answers} = handle(600);
	assert.equal(admitted.length, 0);
	assert.deepEqual(getOutcome(answers[0]), {
		kind: 'not-run', reason: 'held-up', retryAfterMs: 100, wasOffered: false,
	});
});

test('the delay in transit is subtracted from the remaining times of a request', () => {
	const {admitted} = handle(40);
	assert.deepEqual([admitted[0]?.remainingMs, admitted[0]?.targetMs, admitted[0]?.lateMs], [960, 160, 560]);
});

test('a node that ends accepts no requests', () => {
	const {admitted, answers} = handle(0, Number.NEGATIVE_INFINITY);
	assert.equal(admitted.length, 0);
	assert.equal((getOutcome(answers[0]) as {readonly reason: string}).reason, 'stopping'); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
});

test('a stopping node refuses requests of other nodes that may last beyond the stop', () => {
	const nowMs = new ManualClock().readTimestamp().monotonicMs;
	// The request has 1000 ms left.
	const late = handle(0, nowMs + 999);
	assert.equal(late.admitted.length, 0);
	assert.equal((getOutcome(late.answers[0]) as {readonly retryAfterMs: number}).retryAfterMs, 1999); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	assert.equal((getOutcome(late.answers[0]) as {readonly reason: string}).reason, 'stopping'); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	assert.equal(handle(0, nowMs + 1001).admitted.length, 1);
});
