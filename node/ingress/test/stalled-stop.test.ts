import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import test from 'node:test';
import {setImmediate, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {createCallerHeaders} from '@buckthornpoint/fleet-stand-in/stand-in-messages.js';
import {CallerServer} from '../src/caller-server.js';
import {FleetView} from '../src/fleet-view.js';

/** A caller in a separate process: on a line of input it connects and sends a request, then prints the status or how the connection ended. */
const caller = `
const [port, head] = process.argv.slice(1);
process.stdin.once('data', () => {
	const socket = require('node:net').connect(Number(port), '127.0.0.1', () => socket.write(head));
	socket.once('data', chunk => { console.log(chunk.toString().split(' ')[1]); process.exit(); });
	socket.on('error', error => { console.log(error.code); process.exit(); });
	socket.on('end', () => { console.log('ended'); process.exit(); });
});
console.log('ready');`;

/** Duration of the stall of the node's process, in which the caller connects and sends its request. */
const stallMs = 500;

test('a connection in the accept queue of a stalled node that stops listening is answered, not reset', async t => {
	const server = new CallerServer({
		view: new FleetView(),
		router: {route: () => ({cancel: () => undefined})},
		clock: new SystemClock(),
		getCallerService: () => 'own',
		onFinished: () => undefined,
	});
	await server.listen('127.0.0.1', 0);
	const headers = Object.entries({host: 'a.example', ...createCallerHeaders('id-1')}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	const child = spawn(process.execPath, ['-e', caller, String(server.getPort()), `GET /x/1 HTTP/1.1\r\n${headers}\r\n`], {stdio: ['pipe', 'pipe', 'inherit']});
	t.after(() => {
		child.kill();
		server.close();
	});
	await once(child.stdout, 'data');
	const answered = once(child.stdout, 'data').then(([chunk]) => String(chunk).trim());
	child.stdin.write('\n');
	await sleep(1);
	setTimeout(() => {
		server.stopListening();
	}, 1);
	// Timers that expire during the stall run before connections are accepted.
	setImmediate(() => {
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, stallMs);
	});
	assert.equal(await answered, '503');
});
