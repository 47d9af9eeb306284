import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createConnection, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import type {Outcome} from '@buckthornpoint/backend-link/outcome.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {createCallerHeaders} from '@buckthornpoint/fleet-stand-in/stand-in-messages.js';
import {CallerServer} from '../src/caller-server.js';
import {FleetView} from '../src/fleet-view.js';

type Answer = Extract<Outcome, {readonly kind: 'answer'}>;

type Fixture = {
	readonly server: CallerServer;
	readonly clock: SystemClock;
	/** Callbacks that finish the started requests, by request id. */
	readonly finishes: ReadonlyMap<string, (answer: Partial<Answer>) => void>;
	readonly socket: Socket;
	/** Bytes received by the caller. */
	readonly received: Buffer[];
	send(id: string): void;
};

/** Opens a server and a caller's connection to it. Nothing is read from `socket` until a `data` listener is added. */
async function openFixture(t: TestContext): Promise<Fixture> {
	const clock = new SystemClock();
	const view = new FleetView();
	view.setRoutes({
		version: 1,
		routes: [{
			name: 'r', host: 'a.example', prefix: '/x/', kind: 'non-idempotent', priority: 1, timeoutMs: 800, targetMs: 250, maxAttempts: 2, services: [{service: 'sklad', weight: 1}],
		}],
		services: new Map(),
		limits: {
			headerBytes: 1000, bodyBytes: 10, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	}, '');
	const finishes = new Map<string, (answer: Partial<Answer>) => void>();
	const server = new CallerServer({
		view,
		router: {
			route(request, finish) {
				finishes.set(request.requestId, answer => {
					const outcome: Answer = {
						kind: 'answer', status: 200, headers: [], body: Buffer.from('done'), isFramed: true, ...answer,
					};
					finish({outcome, tries: []});
				});
				return {cancel: () => undefined};
			},
		},
		clock,
		getCallerService: () => 'own',
		onFinished: () => undefined,
	});
	await server.listen('127.0.0.1', 0);
	const socket = createConnection(server.getPort(), '127.0.0.1');
	socket.on('error', () => undefined);
	t.after(() => {
		socket.destroy();
		server.close();
	});
	const headers = Object.entries({host: 'a.example'}).map(([name, value]) => `${name}: ${value}`);
	return {
		server, clock, finishes, socket, received: [],
		send(id) {
			const own = Object.entries(createCallerHeaders(id)).map(([name, value]) => `${name}: ${value}`);
			socket.write(`GET /x/1 HTTP/1.1\r\n${[...headers, ...own].join('\r\n')}\r\n\r\n`);
		},
	};
}

async function waitForStarted({finishes, clock}: Fixture, count: number): Promise<void> {
	for (let waitedMs = 0; finishes.size < count && waitedMs < 500; waitedMs += 10) {
		await clock.sleep(10);
	}
}

function readAnswers({socket, received}: Fixture): void {
	socket.on('data', chunk => {
		received.push(chunk);
	});
}

async function waitForClose({socket, clock}: Fixture, maxMs: number): Promise<void> {
	await Promise.race([once(socket, 'close'), clock.sleep(maxMs)]);
}

test('a caller whose answer has invalid headers gets a 502 instead', async t => {
	const fixture = await openFixture(t);
	readAnswers(fixture);
	fixture.send('id-1');
	await waitForStarted(fixture, 1);
	// In production, peer links and backend connections catch errors thrown by this callback.
	const thrown: unknown[] = [];
	try {
		fixture.finishes.get('id-1')?.({headers: ['X-Kept', 'a\u0001b']});
	} catch (error) {
		thrown.push(error);
	}

	await waitForClose(fixture, 1000);
	assert.match(Buffer.concat(fixture.received).toString('latin1'), /^HTTP\/1.1 502 /v, String(thrown));
});

for (const status of [0, 199, 600, 999]) {
	test(`a caller whose answer has the status ${status}, passed on by a node of an earlier version, gets a 502 instead`, async t => {
		const fixture = await openFixture(t);
		readAnswers(fixture);
		fixture.send('id-1');
		await waitForStarted(fixture, 1);
		fixture.finishes.get('id-1')?.({status});
		await waitForClose(fixture, 300);
		assert.match(Buffer.concat(fixture.received).toString('latin1'), /^HTTP\/1.1 502 /v);
	});
}

test('pipelined requests that were started are all answered before a planned stop closes their connection', async t => {
	const fixture = await openFixture(t);
	const {server, clock, finishes} = fixture;
	readAnswers(fixture);
	fixture.send('id-1');
	fixture.send('id-2');
	await waitForStarted(fixture, 2);
	const startedCount = finishes.size;
	server.startStop(clock.readTimestamp().monotonicMs + 60_000);
	finishes.get('id-1')?.({});
	await clock.sleep(50);
	finishes.get('id-2')?.({});
	await waitForClose(fixture, 500);
	assert.equal(Buffer.concat(fixture.received).toString('latin1').split('HTTP/1.1 200').length - 1, startedCount);
});

test('an answer that is being written is not truncated when a planned stop ends listening', async t => {
	const fixture = await openFixture(t);
	const {server, clock, finishes} = fixture;
	const body = Buffer.alloc(16 * 1024 * 1024, 'a');
	fixture.send('id-1');
	await waitForStarted(fixture, 1);
	finishes.get('id-1')?.({body});
	// The caller does not read yet, so most of the answer is still in the server's send buffer.
	await clock.sleep(50);
	assert.equal(server.countOpen(), 1);
	server.startStop(clock.readTimestamp().monotonicMs + 60_000);
	server.stopListening();
	readAnswers(fixture);
	await waitForClose(fixture, 4000);
	const size = fixture.received.reduce((sum, {length}) => sum + length, 0);
	assert.ok(size > body.length, `${size} bytes came`);
});
