import assert from 'node:assert/strict';
import test from 'node:test';
import {Disruptions} from '../src/disruptions.js';
import {checkRequest} from '../src/check-request.js';
import type {RecordedRun, RequestEnd, SentRequest} from '../src/requests.js';
import {createAnswerBody, createRequestBody, routes} from '../src/workload.js';

const startMs = 10_000;

function createSent(opts: Partial<SentRequest> = {}): SentRequest {
	return {
		id: '00000000000000a1', route: routes.find(route => route.name === 'orders-change')!, key: undefined, isChunked: false, bodyPauseMs: 0, entry: 0, callerService: 'stock', startMs, ...opts,
	};
}

function createRun(request: SentRequest, node = 1): RecordedRun {
	return {
		node,
		run: {
			requestId: request.id, backendId: `server-${node}`, service: request.route.service, key: request.key, callerService: request.callerService, method: 'POST',
			path: `${request.route.prefix}${request.id}`, body: createRequestBody(request), begunMs: startMs + 5, hold: undefined,
		},
		end: {atMs: startMs + 50, status: 200},
	};
}

function createAnswer(status: number, opts: Partial<Extract<RequestEnd, {readonly kind: 'answer'}>> = {}): RequestEnd {
	const {id} = createSent();
	return {
		kind: 'answer', status, answeredId: id, isSealed: status === 200, body: status === 200 ? createAnswerBody(id) : '', atMs: startMs + 60, sentMs: startMs + 2, ...opts,
	};
}

function listRules(request: SentRequest, end: RequestEnd, runs: RecordedRun[], disruptions = new Disruptions()): readonly string[] {
	return checkRequest({request, end, runs}, [disruptions]).map(({rule}) => rule);
}

test('a request that was executed once and answered violates no guarantee', () => {
	const request = createSent();
	assert.deepEqual(listRules(request, createAnswer(200), [createRun(request)]), []);
});

test('a non-idempotent request is executed at most once, and not at all if it was refused', () => {
	const request = createSent();
	assert.deepEqual(listRules(request, createAnswer(200), [createRun(request), createRun(request, 3)]), ['twice']);
	assert.deepEqual(listRules(request, createAnswer(503), [createRun(request)]), ['refused-but-run']);
	assert.deepEqual(listRules(request, createAnswer(503), []), []);
	const idempotent = createSent({route: routes.find(route => route.name === 'orders-read')!});
	assert.deepEqual(listRules(idempotent, createAnswer(503), [createRun(idempotent), createRun(idempotent, 3)]), []);
});

test('an answer must be complete and belong to its request', () => {
	const request = createSent();
	const run = createRun(request);
	assert.deepEqual(listRules(request, createAnswer(200, {answeredId: 'b'}), [run]), ['wrong-answer']);
	assert.deepEqual(listRules(request, createAnswer(200, {body: createAnswerBody(request.id).slice(1)}), [run]), ['wrong-answer']);
	assert.deepEqual(listRules(request, createAnswer(200, {isSealed: false}), [run]), ['wrong-answer']);
	assert.deepEqual(listRules(request, createAnswer(200), []), ['wrong-answer']);
});

test('a server must receive the request unchanged', () => {
	const request = createSent();
	const {node, run, end} = createRun(request);
	assert.deepEqual(listRules(request, createAnswer(200), [{node, end: end!, run: {...run, callerService: 'orders'}}]), ['changed-request']);
	assert.deepEqual(listRules(request, createAnswer(200), [{node, end: end!, run: {...run, body: ''}}]), ['changed-request']);
});

test('a received request must be answered, unless its entry node or a node that ran it was disrupted', () => {
	const request = createSent();
	const broken: RequestEnd = {
		kind: 'broken', problem: 'reset', atMs: startMs + 60, sentMs: startMs + 2,
	};
	const run = createRun(request);
	assert.deepEqual(listRules(request, broken, [run]), ['lost']);
	assert.deepEqual(listRules(request, broken, []), []);
	assert.deepEqual(listRules(request, {...broken, atMs: startMs + 300}, []), ['lost']);
	assert.deepEqual(listRules(request, createAnswer(502), [run]), ['lost']);
	for (const [target, untilMs, rules] of [[0, -2999, []], [1, -2999, []], [2, -2999, ['lost']], [1, -3001, ['lost']], ['store', 0, ['lost']]] as const) {
		const disruptions = new Disruptions();
		disruptions.open(target, 0).close(startMs + untilMs);
		assert.deepEqual(listRules(request, broken, [run], disruptions), rules);
	}
});

test('a disruption of the store excuses requests with a key', () => {
	const request = createSent({key: 7});
	const disruptions = new Disruptions();
	disruptions.open('store', startMs);
	assert.deepEqual(listRules(request, createAnswer(502), [createRun(request)], disruptions), []);
});

test('an answer must arrive soon after the time limit, unless the soak test itself had to wait for a processor', () => {
	const request = createSent();
	const end = createAnswer(504, {atMs: startMs + 1800});
	assert.deepEqual(listRules(request, end, []), ['late']);
	const disruptions = new Disruptions();
	disruptions.open('driver', startMs).close(startMs + 500);
	assert.deepEqual(listRules(request, end, [], disruptions), []);
});
