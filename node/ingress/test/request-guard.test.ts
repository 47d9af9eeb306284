import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createConnection} from 'node:net';
import test, {type TestContext} from 'node:test';
import {MemoryBudget} from '@buckthornpoint/admission/memory-budget.js';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {RouteTable} from '@buckthornpoint/routes/routes.js';
import {CallerServer} from '../src/caller-server.js';
import type {CallerServerOpts} from '../src/caller-server-opts.js';
import type {PendingRequest} from '../src/caller-responder.js';
import {FleetView} from '../src/fleet-view.js';
import {RequestGuard} from '../src/request-guard.js';

const timeoutMs = 300;

/** The operator's target: no request is held for longer than this past the time-out of its route. */
const maxOverdueMs = 500;

const table: RouteTable = {
	version: 1,
	routes: [{
		name: 'r', host: 'a.example', prefix: '/x/', kind: 'non-idempotent', priority: 1, timeoutMs, targetMs: 250, maxAttempts: 2, services: [{service: 'jobs', weight: 1}],
	}],
	services: new Map(),
	limits: {
		headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

type Answer = {readonly text: string; readonly heldMs: number; readonly problems: readonly string[]; readonly usedBytes: number};

/** Sends one request to a server with this router. */
async function sendRequest(t: TestContext, opts: Pick<CallerServerOpts, 'router'> & Partial<Pick<CallerServerOpts, 'onFinished'>>): Promise<Answer> {
	const clock = new SystemClock();
	const view = new FleetView();
	view.setRoutes(table, '');
	const memory = new BodyMemory(new MemoryBudget({limitBytes: 10_000, largestBytes: 1000}), () => clock.readTimestamp().monotonicMs);
	const problems: string[] = [];
	const server = new CallerServer({
		view, clock, memory, getCallerService: () => 'own', onFinished: () => undefined, ...opts, onProblem(problem) {
			problems.push(problem);
		},
	});
	t.after(() => {
		server.close();
	});
	await server.listen('127.0.0.1', 0);
	const socket = createConnection({host: '127.0.0.1', port: server.getPort()});
	const startMs = performance.now();
	socket.write('POST /x/1 HTTP/1.1\r\nhost: a.example\r\nbuckthornpoint-request-id: guarded\r\ncontent-length: 4\r\n\r\nbody');
	const events: unknown[] = await once(socket, 'data', {signal: AbortSignal.timeout(5000)});
	socket.destroy();
	return {
		text: String(events[0]), heldMs: performance.now() - startMs, problems, usedBytes: memory.budget.usedBytes,
	};
}

// Requests whose handling had thrown were never answered, and were held until their callers left.
test('a request whose handling throws is answered at once, and its memory is released', async t => {
	const {text, problems, usedBytes} = await sendRequest(t, {
		router: {
			route() {
				throw new Error('the router fails');
			},
		},
	});
	assert.match(text, /^HTTP\/1\.1 502 /v);
	assert.match(problems[0] ?? '', /the router fails/v);
	assert.equal(usedBytes, 0);
});

test('a request whose end was lost is answered shortly after the time-out of its route', async t => {
	const {text, heldMs, problems} = await sendRequest(t, {router: {route: () => ({cancel: () => undefined})}});
	assert.match(text, /^HTTP\/1\.1 504 /v);
	assert.ok(heldMs >= timeoutMs && heldMs <= timeoutMs + maxOverdueMs, `${heldMs} ms`);
	assert.equal(problems.length, 1);
});

test('a request whose report throws is answered', async t => {
	const {text, problems} = await sendRequest(t, {
		router: {
			route(_request, finish) {
				finish({outcome: {kind: 'unknown', reason: 'timeout'}, tries: []});
				return {cancel: () => undefined};
			},
		},
		onFinished() {
			throw new Error('the report fails');
		},
	});
	assert.match(text, /^HTTP\/1\.1 504 /v);
	assert.match(problems[0] ?? '', /the report fails/v);
});

// Requests that waited for their start in a burst were ended with 504 as if they might have run, and logged as errors of the node.
test('a request that waits for its start beyond its time is refused as not run, and is not an error of the node', t => {
	const clock = new ManualClock();
	const refused: string[] = [];
	const guard = new RequestGuard({
		clock,
		responder: {
			fail() {
				assert.fail('the request has not failed');
			},
			refuse(_pending, reason) {
				refused.push(reason);
			},
		},
		onProblem(problem) {
			assert.fail(problem);
		},
	});
	t.after(() => {
		guard.close();
	});
	const pending = {response: {headersSent: false}} as unknown as PendingRequest; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	guard.add(pending, timeoutMs);
	guard.setWaiting(pending.response, true);
	clock.advance(timeoutMs - 1);
	assert.deepEqual(refused, []);
	clock.advance(100);
	assert.deepEqual(refused, ['held-up']);
	clock.advance(1000);
	assert.deepEqual(refused, ['held-up']);
});
