// An answer without a length is complete only at the regular end of its connection. The runtime reports the same event after a reset
// that arrives with the last bytes, and after a failed write of a request that the server does not read; callers got the part that
// had arrived as a complete answer. Real sockets, as the order of these reports depends on the kernel.
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {MemoryBudget} from '@buckthornpoint/admission/memory-budget.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {formatAnswer, readRequestHead} from '@buckthornpoint/fleet-stand-in/stand-in-messages.js';
import {BodyMemory, type Body} from '@buckthornpoint/frames/body-blocks.js';
import type {BackendGate} from '../src/backend-gate.js';
import type {Outcome} from '../src/outcome.js';
import {openGate, sendRequest} from './open-gate.js';

/** Lengths of the uploads: none, one segment, more than one read of the server, and more than the kernel buffers. */
const uploadBytes = [0, 1000, 200_000, 2_000_000, 8_000_000];
const repetitions = 100;
const remainingMs = 10_000;
const part = 'part of the body';

/** Ends the connection of a server that has sent a part of its answer. */
type EndConnection = (socket: Socket) => unknown;

type Fixture = {readonly gate: BackendGate; readonly memory: BodyMemory};

/** Opens a gate before a server that answers each request at its first bytes, without a length, reads no further and then ends the connection. */
async function openFixture(t: TestContext, endConnection: EndConnection): Promise<Fixture> {
	const server = createServer({allowHalfOpen: true}, socket => {
		socket.on('error', () => undefined);
		socket.once('data', chunk => {
			socket.pause();
			const id = readRequestHead(chunk.toString('latin1')).requestId ?? '';
			socket.write(formatAnswer(id, part, {isFramed: false}), () => {
				endConnection(socket);
			});
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const clock = new SystemClock();
	const memory = new BodyMemory(new MemoryBudget({limitBytes: 64 * 1024 * 1024, largestBytes: 16 * 1024 * 1024}), () => clock.readTimestamp().monotonicMs);
	const gate = openGate(t, typeof address === 'object' ? address?.port ?? 0 : 0, {memory});
	t.after(() => {
		server.close();
	});
	return {gate, memory};
}

function createBody(memory: BodyMemory, bytes: number): Body {
	const body = memory.startBody({announcedBytes: bytes});
	assert.equal(body?.add(Buffer.alloc(bytes)), true);
	body.complete();
	return body;
}

async function run({gate, memory}: Fixture, requestId: string, bytes: number): Promise<Outcome> {
	const body = bytes > 0 ? createBody(memory, bytes) : Buffer.alloc(0);
	const outcome = await sendRequest(gate, {requestId, body, remainingMs});
	if (!(body instanceof Buffer) && 'release' in body) {
		body.release();
	}

	return outcome;
}

async function runAll(t: TestContext, endConnection: EndConnection, bytes: number, count = repetitions): Promise<readonly string[]> {
	const fixture = await openFixture(t, endConnection);
	const kinds: string[] = [];
	for (let index = 0; index < count; index++) {
		const outcome = await run(fixture, `r-${index}`, bytes);
		kinds.push(outcome.kind === 'answer' ? `answer ${String(outcome.body)}` : `${outcome.kind} ${outcome.reason}`);
	}

	return [...new Set(kinds)];
}

const resets: ReadonlyArray<readonly [name: string, endConnection: EndConnection]> = [
	['with the last bytes', socket => socket.resetAndDestroy()],
	['a turn later', socket => {
		setImmediate(() => {
			socket.resetAndDestroy();
		});
	}],
	['some milliseconds later', async socket => {
		await sleep(3);
		socket.resetAndDestroy();
	}],
	['after more of the request', socket => {
		socket.once('data', () => {
			socket.resetAndDestroy();
		});
		socket.resume();
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 5);
	}],
];

for (const bytes of uploadBytes) {
	for (const [name, endConnection] of resets) {
		test(`the server resets the connection ${name}: the part of an answer without a length is no answer, with an upload of ${bytes} bytes`, async t => {
			assert.deepEqual(await runAll(t, endConnection, bytes), ['unknown connection-lost']);
		});
	}

	test(`the server ends its side and reads on: an answer without a length is complete, with an upload of ${bytes} bytes`, async t => {
		const kinds = await runAll(t, socket => {
			socket.end();
			socket.resume();
		}, bytes);
		assert.deepEqual(kinds, [`answer ${part}`]);
	});
}

test('the server closes the connection after it has read the request: an answer without a length is complete', async t => {
	assert.deepEqual(await runAll(t, socket => socket.destroy(), 0), [`answer ${part}`]);
});

test('the server ends its side and then resets the connection while the request is written: the end was not regular', async t => {
	const kinds = await runAll(t, async socket => {
		socket.end();
		await sleep(3);
		socket.resetAndDestroy();
	}, 8_000_000);
	assert.deepEqual(kinds, ['unknown connection-lost']);
});

test('the server ends its side, reads no further and keeps the connection: an answer without a length is complete, before the deadline', async t => {
	for (const bytes of uploadBytes) {
		assert.deepEqual(await runAll(t, socket => socket.end(), bytes, 10), [`answer ${part}`], `${bytes} bytes`);
	}
});

test('a large part of an answer without a length leaves no memory behind when the connection is reset', async t => {
	const large = 'a'.repeat(1_000_000);
	const fixture = await openFixture(t, socket => {
		socket.write(large, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 5);
		});
	});
	for (let index = 0; index < 5; index++) {
		assert.deepEqual(await run(fixture, `r-${index}`, 0), {kind: 'unknown', reason: 'connection-lost'});
	}

	assert.equal(fixture.memory.budget.usedBytes, 0);
});
