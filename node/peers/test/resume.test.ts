import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	createConnection, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {performance} from 'node:perf_hooks';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {encodeFrame, FrameReader, frameTypes} from '@buckthornpoint/frames/frames.js';
import type {CallFailure} from '../src/peer-messages.js';
import {PeerLinks} from '../src/peer-links.js';
import {PeerServer, type Reply} from '../src/peer-server.js';

/** A TCP proxy between two nodes that can interrupt their connections. */
class Proxy {
	isForwarding = true;
	readonly #server: Server;
	readonly #pairs: Array<readonly [near: Socket, far: Socket]> = [];

	constructor(port: number) {
		this.#server = createServer(near => {
			const far = createConnection({host: '127.0.0.1', port});
			const {isForwarding} = this;
			this.#pairs.push([near, far]);
			for (const [from, to] of [[near, far], [far, near]] as const) {
				from.on('data', chunk => {
					// A connection opened while forwarding was off stays silent; new ones work once forwarding is on again.
					if (this.isForwarding && isForwarding) {
						to.write(chunk);
					}
				});
				from.on('error', () => undefined);
				from.on('close', () => {
					if (this.isForwarding) {
						to.destroy();
					}
				});
			}
		});
	}

	get port(): number {
		return (this.#server.address() as AddressInfo).port; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	}

	async listen(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	/** Resets the connections that are open. */
	closeAll(): void {
		for (const [near, far] of this.#pairs.splice(0)) {
			near.resetAndDestroy();
			far.resetAndDestroy();
		}
	}

	/** Stops forwarding on the open connections, in both directions. */
	stopAll(): void {
		for (const [near, far] of this.#pairs.splice(0)) {
			near.removeAllListeners('data');
			far.removeAllListeners('data');
			near.removeAllListeners('close');
			far.removeAllListeners('close');
			near.on('data', () => undefined);
			far.on('data', () => undefined);
		}
	}

	close(): void {
		this.#server.close();
		this.closeAll();
	}
}

type SentCall = {readonly answers: unknown[]; readonly failures: CallFailure[]};

type Fixture = {
	readonly proxy: Proxy;
	readonly server: PeerServer;
	readonly requests: Array<{readonly meta: unknown; readonly reply: Reply}>;
	readonly cancelled: unknown[];
	sendRequest: (meta: unknown, waitsForReconnect: boolean) => SentCall;
};

function createPeerServer(requests: Fixture['requests'], cancelled: unknown[]): PeerServer {
	return new PeerServer(new SystemClock(), {
		onRequest({meta}, reply) {
			requests.push({meta, reply});
			return () => {
				cancelled.push(meta);
			};
		},
		onCall: () => undefined,
		onNotice: () => undefined,
		onProblem: () => undefined,
	});
}

async function openFixture(t: TestContext): Promise<Fixture> {
	const requests: Fixture['requests'] = [];
	const cancelled: unknown[] = [];
	const server = createPeerServer(requests, cancelled);
	await server.listen('127.0.0.1', 0);
	const proxy = new Proxy(server.getPort());
	await proxy.listen();
	const links = new PeerLinks({
		clock: new SystemClock(), name: 'run-1', onUnreachable: () => undefined, onDisconnect: () => undefined, onProblem: () => undefined,
	});
	t.after(() => {
		links.close();
		proxy.close();
		server.close();
	});
	return {
		proxy, server, requests, cancelled, sendRequest(meta, waitsForReconnect) {
			const sent: SentCall = {answers: [], failures: []};
			links.get(`127.0.0.1:${proxy.port}`).call(frameTypes.request, meta, {
				waitsForReconnect,
				onAnswer(answer) {
					sent.answers.push(answer);
				},
				onFailure(failure) {
					sent.failures.push(failure);
				},
			});
			return sent;
		},
	};
}

async function waitFor(isDone: () => boolean): Promise<void> {
	while (!isDone()) {
		await sleep(1);
	}
}

test('a request that runs while its connection is reset continues, runs once, and its answer arrives', async t => {
	const {proxy, requests, cancelled, sendRequest} = await openFixture(t);
	const sent = [sendRequest('safe', false), sendRequest('unsafe', true)];
	await waitFor(() => requests.length === 2);
	proxy.closeAll();
	await sleep(100);
	for (const {meta, reply} of requests) {
		reply(`answer to ${String(meta)}`);
	}

	await waitFor(() => sent.every(({answers}) => answers.length > 0));
	assert.deepEqual(sent.map(({answers}) => answers), [['answer to safe'], ['answer to unsafe']]);
	assert.equal(requests.length, 2);
	assert.deepEqual(cancelled, []);
});

test('an answer that was lost with its connection is resent', async t => {
	const {proxy, requests, sendRequest} = await openFixture(t);
	const sent = sendRequest('unsafe', true);
	await waitFor(() => requests.length === 1);
	proxy.stopAll();
	requests[0]!.reply('answer');
	await waitFor(() => sent.answers.length > 0 || sent.failures.length > 0);
	assert.deepEqual(sent, {answers: ['answer'], failures: []});
	assert.equal(requests.length, 1);
});

test('a request that was lost with its connection fails as not sent and never starts', async t => {
	const {proxy, requests, sendRequest} = await openFixture(t);
	const first = sendRequest('first', true);
	await waitFor(() => requests.length === 1);
	proxy.stopAll();
	const lost = sendRequest('lost', true);
	await waitFor(() => lost.failures.length > 0);
	assert.deepEqual(lost.failures.map(({wasSent}) => wasSent), [false]);
	requests[0]!.reply('answer');
	await waitFor(() => first.answers.length > 0);
	assert.deepEqual(requests.map(({meta}) => meta), ['first']);
});

test('on an idle connection, a request that must not run twice waits for a pong and fails as not sent without one', async t => {
	const {proxy, requests, sendRequest} = await openFixture(t);
	const first = sendRequest('first', true);
	await waitFor(() => requests.length === 1);
	requests[0]!.reply('answer');
	await waitFor(() => first.answers.length > 0);
	await sleep(400);
	const second = sendRequest('second', true);
	await waitFor(() => requests.length === 2);
	requests[1]!.reply('answer');
	await waitFor(() => second.answers.length > 0);
	await sleep(400);
	proxy.isForwarding = false;
	const startMs = performance.now();
	const lost = sendRequest('lost', true);
	await waitFor(() => lost.failures.length > 0);
	assert.equal(lost.failures[0]?.wasSent, false);
	assert.ok(performance.now() - startMs < 700, `after ${performance.now() - startMs} ms`);
	assert.equal(requests.length, 2);
});

test('during a silence of seconds, a call that waits for a reconnect stays pending, and others fail once the silence is detected', async t => {
	const {proxy, requests, sendRequest} = await openFixture(t);
	const waiting = sendRequest('unsafe', true);
	const notWaiting = sendRequest('safe', false);
	await waitFor(() => requests.length === 2);
	proxy.isForwarding = false;
	await waitFor(() => notWaiting.failures.length > 0);
	assert.equal(notWaiting.failures[0]?.wasSent, true);
	await sleep(1200);
	assert.deepEqual(waiting, {answers: [], failures: []});
	proxy.isForwarding = true;
	requests[0]!.reply('late answer');
	await waitFor(() => waiting.answers.length > 0 || waiting.failures.length > 0);
	assert.deepEqual(waiting, {answers: ['late answer'], failures: []});
});

test('a request to a process that was replaced at the same address may have run', async t => {
	const {proxy, server, requests, sendRequest} = await openFixture(t);
	const sent = sendRequest('unsafe', true);
	await waitFor(() => requests.length === 1);
	const port = server.getPort();
	server.close();
	const next = createPeerServer([], []);
	await next.listen('127.0.0.1', port);
	t.after(() => {
		next.close();
	});
	proxy.closeAll();
	await waitFor(() => sent.failures.length > 0);
	assert.deepEqual(sent.failures.map(({wasSent}) => wasSent), [true]);
});

test('requests of a link that does not reconnect are cancelled', async t => {
	const {proxy, requests, cancelled, sendRequest} = await openFixture(t);
	sendRequest('safe', false);
	await waitFor(() => requests.length === 1);
	proxy.close();
	await waitFor(() => cancelled.length > 0);
	assert.deepEqual(cancelled, ['safe']);
});

test('a call that was sent to an earlier process may have run, also if the first connection to the new process broke after its ping', async t => {
	const clock = new SystemClock();
	const server = new PeerServer(clock, {
		onRequest: () => () => undefined, onCall: () => undefined, onNotice: () => undefined, onProblem: () => undefined,
	});
	await server.listen('127.0.0.1', 0);
	const sockets: Socket[] = [];
	t.after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const exchange = async (frames: readonly Buffer[], isAnswered: (type: number) => boolean): Promise<unknown> => new Promise(resolve => {
		const socket = createConnection({host: '127.0.0.1', port: server.getPort()});
		const reader = new FrameReader();
		sockets.push(socket);
		socket.write(Buffer.concat(frames));
		socket.on('data', chunk => {
			for (const {type, meta} of reader.read(chunk)) {
				if (isAnswered(type)) {
					resolve(meta);
				}
			}
		});
	});
	const ping = encodeFrame(frameTypes.ping, 0, {sentMs: 0, session: 'link', nextId: 6});
	await exchange([ping], type => type === frameTypes.pong);
	sockets[0]!.destroy();
	const missing = await exchange([ping, encodeFrame(frameTypes.resume, 0, {ids: [5]})], type => type === frameTypes.missing);
	assert.deepEqual(missing, {hasCome: true});
});
