// The HTTP library takes bytes for answers that are none, refuses legal ones, and completes an answer when its connection is reset.
// Everything that reads answers through it gets a complete answer by the grammar, or a failure.
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {departures} from '@buckthornpoint/answers/departures.js';
import {legalAnswers} from '@buckthornpoint/answers/legal-answers.js';
import {openRawServer, type RawAnswer} from '@buckthornpoint/answers/raw-server.js';
import type {Dispatcher, Pool} from 'undici';
import {AnswerMemoryLimit} from '../src/answer-memory-limit.js';
import {createPool, type PoolOpts} from '../src/create-pool.js';

const timeoutMs = 2000;
const fields = 'X-Field: 1\r\n';
const uploadBytes = [0, 1000, 200_000, 2_000_000, 8_000_000];
const repetitions = 20;

async function openPool(t: TestContext, answer: RawAnswer, opts: PoolOpts = {}): Promise<Pool> {
	const server = await openRawServer(answer);
	const pool = createPool(`http://127.0.0.1:${server.port}`, opts);
	t.after(async () => {
		await pool.destroy();
		server.close();
	});
	return pool;
}

/** Returns the status and the body of the answer, or why there is none. */
async function run(pool: Pool, opts: Partial<Dispatcher.RequestOptions> = {}): Promise<string> {
	try {
		const {statusCode, body} = await pool.request({
			method: 'GET', path: '/', signal: AbortSignal.timeout(timeoutMs), ...opts,
		});
		return `${statusCode} ${await body.text()}`;
	} catch (error) {
		return error instanceof Error && error.name === 'TimeoutError' ? 'too late' : 'none';
	}
}

for (const {name, format, needsEnd} of departures) {
	test(`no answer: ${name}`, async t => {
		assert.equal(await run(await openPool(t, socket => socket.end(format(fields), 'latin1'))), 'none');
		if (needsEnd !== true) {
			assert.equal(await run(await openPool(t, socket => socket.write(format(fields), 'latin1'))), 'none');
		}
	});
}

for (const {name, format, status, body, endsConnection} of legalAnswers) {
	test(`a legal answer is passed on: ${name}`, async t => {
		const pool = await openPool(t, socket => endsConnection ? socket.end(format(fields), 'latin1') : socket.write(format(fields), 'latin1'), {connections: 1});
		assert.deepEqual([await run(pool), await run(pool)], [`${status} ${body}`, `${status} ${body}`]);
	});
}

test('an answer to HEAD has no body, whatever its fields say of one', async t => {
	const framings = ['Content-Length: 4', 'Content-Length: 99999999999', 'Transfer-Encoding: chunked', 'X-A: b'];
	let count = 0;
	const pool = await openPool(t, socket => socket.write(`HTTP/1.1 200 OK\r\n${framings[count++]}\r\n\r\n`), {connections: 1});
	for (const framing of framings) {
		assert.equal(await run(pool, {method: 'HEAD'}), '200 ', framing);
	}
});

test('a surplus answer is not taken for the answer to the next request, and the one before it is complete', async t => {
	let count = 0;
	const pool = await openPool(t, socket => {
		count++;
		const answer = `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${count}`;
		socket.write(count === 1 ? `${answer}${answer}` : answer);
	}, {connections: 1});
	assert.deepEqual([await run(pool), await run(pool)], ['200 1', '200 2']);
});

for (const [name, line] of [['says so', 'Connection: close\r\n'], ['does not say so', '']] as const) {
	test(`large answers are complete although their reader is slow and the server closes the connection after them, which ${name}`, async t => {
		const bytes = 2_000_000;
		const pool = await openPool(t, socket => socket.end(`HTTP/1.1 200 OK\r\n${line}Content-Length: ${bytes}\r\n\r\n${'a'.repeat(bytes)}`), {connections: 1});
		for (const waitMs of [0, 1, 5]) {
			const {body} = await pool.request({method: 'GET', path: '/'});
			let size = 0;
			for await (const chunk of body as AsyncIterable<Uint8Array>) {
				size += chunk.length;
				await sleep(waitMs);
			}

			assert.equal(size, bytes);
			// The library learns of the end before its next request.
			await sleep(10);
		}
	});
}

test('many requests are answered by a server that closes each connection after its answer', async t => {
	const pool = await openPool(t, socket => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody'), {connections: 2});
	const results = await Promise.all(Array.from({length: 200}, async () => run(pool)));
	assert.deepEqual([...new Set(results)], ['200 body']);
});

const moments: ReadonlyArray<readonly [name: string, waitMs: number | undefined]> = [['with the last bytes', undefined], ['a turn later', 0], ['some milliseconds later', 3]];

for (const bytes of uploadBytes) {
	for (const [name, waitMs] of moments) {
		test(`a reset ${name} does not complete an answer without a length, with an upload of ${bytes} bytes`, async t => {
			const pool = await openPool(t, socket => {
				socket.pause();
				socket.removeAllListeners('data');
				socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => {
					if (waitMs === undefined) {
						socket.resetAndDestroy();
					} else {
						setTimeout(() => {
							socket.resetAndDestroy();
						}, waitMs);
					}
				});
			});
			for (let count = 0; count < repetitions; count++) {
				assert.equal(await run(pool, {method: 'POST', body: Buffer.alloc(bytes)}), 'none');
			}
		});
	}
}

const endless: ReadonlyArray<readonly [name: string, begin: string, piece: string]> = [
	['a head', 'HTTP/1.1 200 OK\r\nX-A: ', 'a'.repeat(16 * 1024)],
	['interim answers', '', 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(500)],
	['a body without a length', 'HTTP/1.1 200 OK\r\n\r\n', 'a'.repeat(64 * 1024)],
	['chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', `10000\r\n${'a'.repeat(64 * 1024)}\r\n`],
	['a trailer', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', `X-A: ${'a'.repeat(1000)}\r\n`.repeat(16)],
];

for (const [name, begin, piece] of endless) {
	test(`what is held of endless answers on many connections stays below the limit, and is released: ${name}`, async t => {
		const memoryLimit = new AnswerMemoryLimit(4_000_000);
		const open = new Set<Socket>();
		const pool = await openPool(t, socket => {
			const send = (): void => {
				while (!socket.destroyed && socket.write(piece)) {
					// The next piece follows at once.
				}
			};

			socket.write(begin);
			open.add(socket);
			socket.on('drain', send).on('close', () => {
				open.delete(socket);
			});
			send();
		}, {memoryLimit, maxBodyBytes: 1_000_000});
		const results = await Promise.all(Array.from({length: 20}, async () => run(pool)));
		assert.deepEqual([...new Set(results)], ['none']);
		assert.equal(memoryLimit.usedBytes, 0);
		for (let waitedMs = 0; open.size > 0 && waitedMs < timeoutMs; waitedMs += 10) {
			await sleep(10);
		}

		assert.equal(open.size, 0);
	});
}
