/* eslint-disable camelcase, no-await-in-loop, no-void -- names of the platform's interfaces; steps of a script follow one another */
// A backend server refuses a request without running it, and a copy of the refusal comes late on the kept connection.
import {Buffer} from 'node:buffer';
import {
	createConfiguration, hasTrouble, runCase, sleep,
} from '../common/harness.mjs';

const copyDelayMs = 30;

/** A copy follows on 2.5% of the answers; `garble` spoils 3% at most. */
const shedInterval = 40;

/** One of the two servers of the service is faulty, for as long as `garble` lasts at most. */
const faultyMs = 5000;

await runCase(import.meta.dirname, async ({record, store, createMachine, createBackend, createClient}) => {
	const owner1 = await createMachine({name: 'sidecar-a-1', zone: 'a', service: 'nyomda'});
	const owner2 = await createMachine({name: 'sidecar-b-1', zone: 'b', service: 'nyomda'});
	const entry = await createMachine({name: 'sidecar-c-1', zone: 'c', service: 'szamla'});
	const machines = [owner1, owner2, entry];
	store.writeOperatorRow('config', createConfiguration(3, {
		routes: [
			{
				name: 'r-print', host: 'print.example', prefix: '/print/', route_kind: 'non_idempotent', timeout_s: 2, target_latency_s: 0.6, priority: 1, service: 'nyomda', max_attempts: 2,
			},
		],
		services: [{
			name: 'nyomda', max_conns: 100, cold_start_s: 3, cold_per_s: 24, is_sharded: true, warmup_s: 3, grants: 'heartbeat',
		}, {
			name: 'szamla', max_conns: 100, cold_start_s: 3, cold_per_s: 24,
		}],
	}));
	let count = 0;
	let faultyFromMs = Number.POSITIVE_INFINITY;
	const shed = new Set();
	const createOne = (machine, index) => {
		const backend = createBackend(machine, {
			id: `i-${index + 1}`, isSharded: index < 2,
			onRequest(request, response) {
				if (index !== 0 || performance.now() < faultyFromMs || performance.now() >= faultyFromMs + faultyMs) {
					return false;
				}

				count++;
				// Sheds one request in forty, once; the queue is not full any more when the request comes again.
				if (count % shedInterval !== 0 || shed.has(request.id)) {
					return false;
				}

				shed.add(request.id);
				const {socket} = response;
				backend.refuse(response, request, 503);
				if (hasTrouble) {
					setTimeout(() => {
						if (!socket.destroyed) {
							record.write(`${backend.id}: sends the refusal of ${request.id} a second time`);
							socket.write(`HTTP/1.1 503 Service Unavailable\r\nBuckthornpoint-Request-Id: ${request.id}\r\nBuckthornpoint-Not-Executed: 1\r\nBuckthornpoint-Instance-Id: ${backend.id}\r\nContent-Length: 0\r\n\r\n`);
						}
					}, copyDelayMs);
				}

				return true;
			},
		});
		return backend;
	};

	const backends = machines.map((machine, index) => createOne(machine, index));
	for (const [index, machine] of machines.entries()) {
		machine.start();
		await backends[index].start();
	}

	await Promise.all(machines.map(machine => machine.waitUntilReady()));
	await sleep(6000);
	const client = createClient(entry, 'job');
	const jobOf = new Map();
	let job = 0;
	// A job that was answered with a promise is sent once more, with a new id, as the pages have it.
	const sendJob = async () => {
		const number = ++job;
		const request = {
			method: 'POST', host: 'print.example', path: `/print/${number}`, key: Math.floor(Math.random() * 65_536), deadlineMs: 4000, body: Buffer.alloc(300, 'x'),
		};
		const first = await client.send(request);
		jobOf.set(first.id, number);
		if (first.status === 503) {
			await sleep(Number(first.retryAfter ?? 0) * 1000);
			const second = await client.send(request);
			jobOf.set(second.id, number);
		}
	};

	const timer = setInterval(() => {
		void sendJob();
	}, 10);
	await sleep(3000);
	faultyFromMs = performance.now();
	await sleep(faultyMs + 1000);
	clearInterval(timer);
	await sleep(5000);
	// An arrival that was shed is no run.
	const runs = new Map();
	for (const {id} of backends.flatMap(backend => backend.arrivals)) {
		runs.set(id, (runs.get(id) ?? (shed.has(id) ? -1 : 0)) + 1);
	}

	const refused = client.results.filter(({id, status}) => [429, 503, 408, 421].includes(status) && runs.get(id) > 0);
	const runsByJob = new Map();
	for (const [id, number] of jobOf) {
		runsByJob.set(number, (runsByJob.get(number) ?? 0) + (runs.get(id) ?? 0));
	}

	record.write(`${[...runsByJob.values()].filter(count => count > 1).length} of ${job} jobs ran twice, since the client trusted the answer and sent them again`);
	record.write(`${client.results.length} requests, ${shed.size} of them shed once; ${refused.length} were answered 503 although they ran`);
	return refused.length === 0;
});
