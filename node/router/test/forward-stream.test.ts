import assert from 'node:assert/strict';
import {
	constants, createServer, type Http2Server, type ServerHttp2Stream,
} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {after, test} from 'node:test';
import {create, toBinary} from '@bufbuild/protobuf';
import {ForwardRequestSchema, ForwardResponseSchema} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import {Http2SessionManager} from '@connectrpc/connect-node';
import {exchangeForward} from '../src/forward-stream.js';

const closers: Array<() => void> = [];
const request = create(ForwardRequestSchema, {requestId: 'a', body: new Uint8Array([1, 2, 3]), bodyLength: 3});
const answer = toBinary(ForwardResponseSchema, create(ForwardResponseSchema, {requestId: 'a', result: {case: 'answer', value: {status: 200}}}));

after(() => {
	for (const close of closers) {
		close();
	}
});

async function openPeer(handle: (stream: ServerHttp2Stream) => void): Promise<Http2SessionManager> {
	const server: Http2Server = createServer();
	server.on('stream', stream => {
		stream.on('error', () => {
			// Expected: the tests break streams.
		});
		handle(stream);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const sessions = new Http2SessionManager(`http://127.0.0.1:${(server.address() as AddressInfo).port}`); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	closers.push(() => {
		sessions.abort();
		server.close();
	});
	return sessions;
}

test('a complete answer is returned', async () => {
	const sessions = await openPeer(stream => {
		stream.respond({[constants.HTTP2_HEADER_STATUS]: 200});
		stream.end(answer);
	});
	const response = await exchangeForward(sessions, request, new AbortController().signal);
	assert.equal(response.requestId, 'a');
});

test('a truncated answer is an error', async () => {
	const sessions = await openPeer(stream => {
		stream.respond({[constants.HTTP2_HEADER_STATUS]: 200});
		stream.write(answer.subarray(0, 2), () => {
			stream.close(2);
		});
	});
	await assert.rejects(exchangeForward(sessions, request, new AbortController().signal));
});

test('a status other than 200 is an error, even with a valid body', async () => {
	const sessions = await openPeer(stream => {
		stream.respond({[constants.HTTP2_HEADER_STATUS]: 413});
		stream.end(answer);
	});
	await assert.rejects(exchangeForward(sessions, request, new AbortController().signal), {code: 'ERR_PEER_UNREACHABLE'});
});

test('cancelling a request closes its stream on the other node', async () => {
	const cancelled = new AbortController();
	let resolveClosed: (() => void) | undefined;
	const closing = new Promise<void>(resolve => {
		resolveClosed = resolve;
	});
	const sessions = await openPeer(stream => {
		stream.on('close', () => {
			resolveClosed?.();
		});
		cancelled.abort();
	});
	await assert.rejects(exchangeForward(sessions, request, cancelled.signal));
	await closing;
});
