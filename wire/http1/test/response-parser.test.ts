import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import fc from 'fast-check';
import {AnswerMemoryLimit} from '../src/answer-memory-limit.js';
import {ResponseParser} from '../src/response-parser.js';

const framed = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=10\r\n\r\nhello';
const chunked = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nTrailer: 1\r\n\r\n';
const unframed = 'HTTP/1.1 200 OK\r\n\r\nhello';

test('an answer is parsed the same however its bytes are split', () => {
	fc.assert(fc.property(fc.constantFrom(framed, chunked), fc.array(fc.nat({max: 120}), {maxLength: 6}), (text, cuts) => {
		const parser = new ResponseParser();
		const bytes = Buffer.from(text);
		const ends = [...cuts.map(cut => Math.min(cut, bytes.length)), bytes.length].toSorted((left, right) => left - right);
		let start = 0;
		let response;
		for (const end of ends) {
			response = parser.read(bytes.subarray(start, end), 'GET') ?? response;
			start = end;
		}

		assert.equal(response?.body.toString(), 'hello');
		assert.equal(parser.hasBufferedBytes, false);
	}));
});

test('an answer without a length is complete only when the server ends the connection', () => {
	const parser = new ResponseParser();
	assert.equal(parser.read(Buffer.from(unframed), 'GET'), undefined);
	const response = parser.completeAtEnd();
	assert.equal(response?.body.toString(), 'hello');
	assert.equal(response.isKeptAlive, false);
	assert.equal(response.isFramed, false);
});

test('a truncated answer is not returned', () => {
	for (const text of [framed, chunked]) {
		const parser = new ResponseParser();
		assert.equal(parser.read(Buffer.from(text.slice(0, -3)), 'GET'), undefined);
		assert.equal(parser.completeAtEnd(), undefined);
	}
});

test('bytes after a complete answer are detected', () => {
	const parser = new ResponseParser();
	parser.read(Buffer.from(`${framed}${framed}`), 'GET');
	assert.equal(parser.hasBufferedBytes, true);
	assert.equal(parser.read(undefined, 'GET')?.body.toString(), 'hello');
});

test('an interim answer is skipped, and an answer to HEAD has no body', () => {
	const parser = new ResponseParser();
	const response = parser.read(Buffer.from('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n'), 'HEAD');
	assert.equal(response?.status, 200);
	assert.equal(response.body.length, 0);
});

test('bytes that are not an answer are rejected immediately', () => {
	for (const text of ['garbage',
		'HTTP/2 200\r\n\r\n',
		'HTTP/1.1 abc\r\n\r\n',
		'HTTP/1.1 200 OK\r\nno colon\r\n\r\n',
		'HTTP/1.1 200 OK\r\nContent-Length: 5, 6\r\n\r\n',
		'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n',
		'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n']) {
		assert.throws(() => new ResponseParser().read(Buffer.from(text), 'GET'), text);
	}
});

test('an answer with a header that cannot be forwarded is rejected by the parser, not when the caller is answered', () => {
	for (const header of ['X-A: b\u0001', 'X A: b', 'X\u007F: b', 'X-A: b\u0000', 'X-A: b\rX-B: c']) {
		assert.throws(() => new ResponseParser().read(Buffer.from(`HTTP/1.1 200 OK\r\n${header}\r\nContent-Length: 0\r\n\r\n`, 'latin1'), 'GET'), JSON.stringify(header));
	}

	const response = new ResponseParser().read(Buffer.from('HTTP/1.1 200 OK\r\nX-A: caf\u00E9\tb\r\nContent-Length: 0\r\n\r\n', 'latin1'), 'GET');
	assert.deepEqual(response?.headers.slice(0, 2), ['X-A', 'caf\u00E9\tb']);
});

const endless: ReadonlyArray<readonly [name: string, begin: string, piece: string]> = [
	['a head line', 'HTTP/1.1 200 OK\r\nX-A: ', 'a'.repeat(1000)],
	['header lines', 'HTTP/1.1 200 OK\r\n', `X-A: ${'a'.repeat(100)}\r\n`],
	['interim answers', '', 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(50)],
	['a body without a length', 'HTTP/1.1 200 OK\r\n\r\n', 'a'.repeat(64 * 1024)],
	['chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', `10000\r\n${'a'.repeat(64 * 1024)}\r\n`],
	['the size of a chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', '0'.repeat(1000)],
	['the extension of a chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;', 'a'.repeat(1000)],
	['a trailer line', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ', 'a'.repeat(1000)],
	['trailer lines', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', `X-A: ${'a'.repeat(100)}\r\n`],
];

for (const [name, begin, piece] of endless) {
	test(`an endless answer is rejected at a limit: ${name}`, () => {
		const parser = new ResponseParser();
		parser.read(Buffer.from(begin), 'GET');
		const bytes = Buffer.from(piece);
		assert.throws(() => {
			for (let sent = 0; sent < 24 * 1024 * 1024; sent += bytes.length) {
				parser.read(bytes, 'GET');
			}
		});
	});
}

test('a body in very small pieces is read in linear time', () => {
	const parser = new ResponseParser();
	parser.read(Buffer.from('HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n'), 'GET');
	const piece = Buffer.from('abcde');
	let response;
	for (let sent = 0; sent < 1_000_000; sent += piece.length) {
		response = parser.read(piece, 'GET');
	}

	assert.equal(response?.body.length, 1_000_000);
	assert.ok(response.body instanceof Uint8Array);
	assert.equal(response.body.subarray(-10).toString(), 'abcdeabcde');
});

test('the incomplete answers of one server share one memory limit and release their reservations', () => {
	const memoryLimit = new AnswerMemoryLimit(100_000);
	const parsers = Array.from({length: 4}, () => new ResponseParser({memoryLimit}));
	const begin = Buffer.from(`HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n${'a'.repeat(30_000)}`);
	for (const parser of parsers.slice(0, 3)) {
		assert.equal(parser.read(begin, 'GET'), undefined);
	}

	assert.throws(() => parsers[3]!.read(begin, 'GET'));
	parsers[0]!.close();
	assert.equal(parsers[1]!.read(Buffer.from('a'.repeat(10_000)), 'GET')?.body.length, 40_000);
	parsers[2]!.close();
	parsers[3]!.close();
	assert.equal(memoryLimit.usedBytes, 0);
});

test('an answer may be as long as the limit of its reader, and no longer', () => {
	const maxBodyBytes = 50 * 1024 * 1024;
	const createHead = (bytes: number): Buffer => Buffer.from(`HTTP/1.1 200 OK\r\nContent-Length: ${bytes}\r\n\r\n`);
	const parser = new ResponseParser({maxBodyBytes});
	parser.read(createHead(maxBodyBytes), 'GET');
	assert.equal(parser.read(Buffer.alloc(maxBodyBytes), 'GET')?.body.length, maxBodyBytes);
	assert.throws(() => parser.read(createHead(maxBodyBytes + 1), 'GET'));
});
