import assert from 'node:assert/strict';
import {createServer} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {PeerSessions} from '../src/peer-sessions.js';

test('a session that fails after it was replaced does not end the process', async () => {
	const server = createServer((request, response) => {
		response.end();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const sessions = new PeerSessions(`http://127.0.0.1:${port}`);
	const stream = await sessions.request('GET', '/', {}, {});
	const {session} = stream;
	assert.ok(session);
	stream.resume();
	stream.on('error', () => {
		// Expected: the test destroys the session with an error.
	});
	await new Promise<void>(resolve => {
		stream.once('close', resolve);
	});
	const sessionClosed = new Promise<void>(resolve => {
		session.once('close', resolve);
	});
	session.destroy(new Error('ping failed after the session was replaced'));
	sessions.abort();
	await sessionClosed;
	server.close();
});
