/* eslint-disable no-await-in-loop, no-unmodified-loop-condition, @stylistic/max-len -- a script of its own that plays steps one after the other */
// Callers that keep their connections send bodies in small chunks, one request after the other.
import {Buffer} from 'node:buffer';
import {createConnection} from 'node:net';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	Backend, Client, createConfiguration, createHost, findPort, formatHead, Machine, readNow, runCase, sleep, Store, waitUntil,
} from '../common-2/harness.mjs';

const route = {
	name: 'prints', host: 'prints.example', prefix: '/prints/', service: 'nyomda', kind: 'non_idempotent', timeout: 2,
};
/** Callers of one machine, each with one connection that it keeps. */
const callers = 120;
const bodyBytes = 7200;
const chunkBytes = 16;
/** Times of the site's print jobs: mean, and the 1 in 100 that takes five times as long. */
const meanWorkMs = 210;
const tailShare = 0.01;
const tailFactor = 5;
const pauseMs = 250;
const playS = 30;
/** Connections that the rule allows to be closed so. */
const allowed = 3;

/** Encodes a body in small chunks, or with its length. */
function encodeRequest(id, inChunks) {
	const head = `POST /prints/${id} HTTP/1.1\r\nHost: ${route.host}\r\nBuckthornpoint-Request-Id: ${id}\r\nBuckthornpoint-Deadline-Ms: 4000\r\n`;
	const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
	return Buffer.from(inChunks
		? `${head}Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(bodyBytes / chunkBytes)}0\r\n\r\n`
		: `${head}Content-Length: ${bodyBytes}\r\n\r\n${'x'.repeat(bodyBytes)}`);
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, hasTrouble, add}) => {
	const store = add(new Store());
	const storeHost = createHost();
	await store.listen(storeHost, await findPort(storeHost));
	store.putOperatorRow('config', createConfiguration(1, [route], [{name: route.service}]));
	const machines = ['a', 'b', 'c', 'c'].map((zone, index) => add(new Machine({
		name: `sidecar-hu-central-${zone}-${index + 1}`, zone: `hu-central-${zone}`, host: createHost(), service: route.service, store, record,
	})));
	const runs = new Map();
	for (const [index, machine] of machines.entries()) {
		await machine.prepare();
		machine.start();
		const backend = add(new Backend(machine, {
			id: `i-${index}`,
			handle(request, connection) {
				runs.set(request.id, {backend: backend.id, atS: readNow()});
				const workMs = meanWorkMs * (Math.random() < tailShare ? tailFactor : 0.5 + Math.random());
				setTimeout(() => connection.write(`${formatHead(request.id, {'Content-Length': 2})}ok`), workMs);
			},
		}));
		await backend.start();
	}

	for (const machine of machines) {
		await waitUntil(`${machine.name} is ready`, () => machine.isReady());
		await waitUntil(`${machine.name} serves`, async () => {
			const probe = new Client(machine.listen.outbound, {
				method: 'POST', path: '/prints/1', host: route.host, id: `probe-${Math.random()}`, body: 'x',
			});
			await probe.finished;
			return probe.head?.status === 200;
		});
	}

	const [machine] = machines;
	const [host, port] = machine.listen.outbound.split(':');
	const counts = {};
	const cut = [];
	let isPlaying = true;
	let requests = 0;
	let connections = 0;
	/** Sends requests on one connection, one after the other, until the connection ends. */
	const useConnection = async name => {
		const socket = createConnection({host, port: Number(port), noDelay: true});
		connections++;
		let received = '';
		let wake = () => undefined;
		let end;
		socket.on('data', data => {
			received += data.toString('latin1');
			wake();
		});
		for (const event of ['end', 'error', 'close']) {
			socket.on(event, error => {
				end ??= error?.code ?? event;
				wake();
			});
		}

		let earlier = 0;
		while (isPlaying && end === undefined) {
			const id = `${name}-${++requests}`;
			const sentS = readNow();
			received = '';
			socket.write(encodeRequest(id, hasTrouble));
			while (end === undefined && !/\r\n\r\n(?:ok|\{.*\})$/sv.test(received) && readNow() - sentS < 3) {
				await new Promise(resolve => {
					const timer = setTimeout(resolve, 3000);
					wake = () => {
						clearTimeout(timer);
						resolve();
					};
				});
			}

			const status = received === '' ? `none (${end ?? 'silent'})` : received.slice(9, 12);
			counts[status] = (counts[status] ?? 0) + 1;
			if (received === '' && end !== undefined) {
				cut.push({
					id, earlier, sentS, endS: readNow(), end,
				});
			}

			earlier++;
			await sleep(pauseMs * (0.5 + Math.random()));
		}

		socket.destroy();
	};

	const startS = readNow();
	record.add(`${callers} callers of ${machine.name} send bodies of ${bodyBytes} bytes ${hasTrouble ? `in chunks of ${chunkBytes} bytes` : 'with a length'}, each on a connection that it keeps`);
	await Promise.all(Array.from({length: callers}, async (_, index) => {
		await sleep(Math.random() * pauseMs);
		while (readNow() - startS < playS) {
			const timer = setTimeout(() => {
				isPlaying = false;
			}, Math.max(0, (playS - (readNow() - startS)) * 1000));
			await useConnection(`caller-${index}`);
			clearTimeout(timer);
		}
	}));
	await sleep(500);
	const lost = cut.filter(({id, earlier}) => earlier > 0 && runs.has(id));
	for (const {id, earlier, sentS, endS, end} of lost) {
		const run = runs.get(id);
		record.add(`${id}, sent at ${sentS.toFixed(3)} s after ${earlier} others on its connection, ran at ${run.backend} from ${run.atS.toFixed(3)} s; its connection ended at ${endS.toFixed(3)} s (${end}) without an answer`);
	}

	record.add(`answers: ${JSON.stringify(counts)}; connections opened: ${connections}`);
	record.add(`${lost.length} kept connections were closed without an answer while their request was passed on (allowed: ${allowed}); ${cut.length - lost.length} more while it was not passed on, or with their first request`);
	return lost.length <= allowed;
});
