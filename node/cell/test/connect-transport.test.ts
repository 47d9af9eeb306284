import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SilentMetrics} from '@buckthornpoint/metrics/metrics.js';
import type {CellMessage} from '@buckthornpoint/ownership/messages.js';
import {ConnectTransport} from '../src/connect-transport.js';
import type {IncomingMessage} from '../src/peer-transport.js';
import {openCallServer} from './fakes.js';

const sender = {vmId: 'vm-1', incarnation: 'a1'};
const node = {vmId: 'vm-2', incarnation: 'b1'};
const notice: CellMessage = {kind: 'notice', epoch: 1};
const silenceTimeoutMs = 250;

function createTransport(clock: ManualClock): ConnectTransport {
	return new ConnectTransport({
		clock, metrics: new SilentMetrics(), silenceTimeoutMs, callTimeoutMs: 60_000,
	});
}

function closeAfter(t: TestContext, ...parts: ReadonlyArray<{close(): Promise<void>}>): void {
	t.after(async () => {
		for (const part of parts) {
			await part.close();
		}
	});
}

test('a message is received only by the node instance that it is addressed to', async t => {
	const received: IncomingMessage[] = [];
	const server = await openCallServer({
		node,
		async handleMessage(incoming) {
			received.push(incoming);
			return [notice];
		},
	});
	const transport = createTransport(new ManualClock());
	closeAfter(t, transport, server);
	const peerOrigin = server.origin;
	const answered = await transport.deliver({
		from: sender, to: node, peerOrigin, message: notice,
	});
	assert.deepEqual(answered._unsafeUnwrap(), [{from: node, message: notice}]);
	const refused = await transport.deliver({
		from: sender, to: {...node, incarnation: 'b0'}, peerOrigin, message: notice,
	});
	assert.equal(refused._unsafeUnwrapErr().code, 'ERR_PEER_UNREACHABLE');
	assert.deepEqual(received, [{from: sender, message: notice}]);
});

test('a connection that stops answering is replaced, and late answers on it are still accepted', async t => {
	const clock = new ManualClock();
	const waiting: Array<() => void> = [];
	const arrived: Array<() => void> = [];
	const server = await openCallServer({
		node,
		async handleMessage() {
			await new Promise<void>(resolve => {
				waiting.push(resolve);
				arrived.shift()?.();
			});
			return [];
		},
	});
	const transport = createTransport(clock);
	closeAfter(t, transport, server);
	const send = async () => {
		const reached = new Promise<void>(resolve => {
			arrived.push(resolve);
		});
		const answer = transport.deliver({
			from: sender, to: node, peerOrigin: server.origin, message: notice,
		});
		await reached;
		return {answer};
	};

	const first = await send();
	const second = await send();
	assert.equal(server.sessionCount(), 1);
	clock.advance(silenceTimeoutMs);
	const third = await send();
	assert.equal(server.sessionCount(), 2);
	for (const resolve of waiting) {
		resolve();
	}

	const answers = await Promise.all([first.answer, second.answer, third.answer]);
	assert.ok(answers.every(answer => answer.isOk()));
});
