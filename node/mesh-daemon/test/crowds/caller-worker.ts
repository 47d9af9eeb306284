import {once} from 'node:events';
import {createConnection, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parentPort, workerData} from 'node:worker_threads';
import type {CallerReport, CallerTask} from './caller-threads.js';

// Callers in a thread of their own: the delays of the test's other work, which includes the servers, must not count as delays of a node.

const task = workerData as CallerTask; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
const statusPattern = /^HTTP\/1\.1 (\d{3}) /v;
let requestCount = 0;

function createHead(): string {
	requestCount++;
	return `${task.method} ${task.path} HTTP/1.1\r\nhost: ${task.host}\r\nbuckthornpoint-request-id: ${task.prefix}-${requestCount}\r\n`
		+ `buckthornpoint-deadline-ms: ${task.deadlineMs}\r\ncontent-length: 0\r\n\r\n`;
}

/** Sends one request on the connection and measures when it is answered. The status is 0 if the connection ends before. */
async function sendOne(socket: Socket): Promise<CallerReport> {
	const openedMs = performance.now();
	if (socket.connecting) {
		await Promise.race([once(socket, 'connect'), sleep(task.patienceMs, undefined, {ref: false})]).catch(() => undefined);
	}

	const sentMs = performance.now();
	return new Promise(resolve => {
		const finish = (status: number): void => {
			socket.removeAllListeners('data');
			socket.removeAllListeners('close');
			clearTimeout(timer);
			resolve({
				sentMs: performance.timeOrigin + sentMs, connectMs: sentMs - openedMs, heldMs: performance.now() - sentMs, status,
			});
		};

		const timer = setTimeout(() => {
			socket.destroy();
			finish(-1);
		}, task.patienceMs);
		socket.once('data', chunk => {
			finish(Number(statusPattern.exec(chunk.toString('latin1'))?.[1] ?? 0));
		});
		socket.once('close', () => {
			finish(0);
		});
		socket.write(createHead());
	});
}

function openSocket(): Socket {
	const [host, port] = task.address.split(':');
	const socket = createConnection({host: host!, port: Number(port), noDelay: true});
	socket.on('error', () => undefined);
	return socket;
}

async function runCaller(endMs: number): Promise<CallerReport[]> {
	const reports: CallerReport[] = [];
	let socket = openSocket();
	do {
		if (socket.destroyed || !socket.writable) {
			socket = openSocket();
		}

		reports.push(await sendOne(socket));
		if (reports.at(-1)!.status <= 0 || !task.keepsConnections) {
			socket.destroy();
		}
	} while (performance.now() < endMs);

	socket.destroy();
	return reports;
}

const endMs = performance.now() + task.durationMs;
const reports = await Promise.all(Array.from({length: task.callers}, async () => runCaller(endMs)));
parentPort!.postMessage(reports.flat());
process.exitCode = 0;
