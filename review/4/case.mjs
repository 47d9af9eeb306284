/* eslint-disable camelcase, no-await-in-loop -- names of the platform's interfaces; steps of a script follow one another */
// A node is killed right after it acknowledged that its backend server leaves. Other machines send requests to that server after `drain_s`.
import {Buffer} from 'node:buffer';
import {
	bounds, createConfiguration, hasTrouble, runCase, sleep,
} from '../common/harness.mjs';

await runCase(import.meta.dirname, async ({record, store, createMachine, createBackend, createClient}) => {
	const leaving = await createMachine({name: 'sidecar-a-1', zone: 'a', service: 'nyomda'});
	const staying = await createMachine({name: 'sidecar-b-1', zone: 'b', service: 'nyomda'});
	const entry = await createMachine({name: 'sidecar-c-1', zone: 'c', service: 'szamla'});
	store.writeOperatorRow('config', createConfiguration(3, {
		routes: [
			{
				name: 'r-print', host: 'print.example', prefix: '/print/', route_kind: 'non_idempotent', timeout_s: 2, target_latency_s: 0.6, priority: 1, service: 'nyomda', max_attempts: 2,
			},
		],
		services: [{
			name: 'nyomda', max_conns: 100, cold_start_s: 3, cold_per_s: 24,
		}, {
			name: 'szamla', max_conns: 100, cold_start_s: 3, cold_per_s: 24,
		}],
	}));
	const leaver = createBackend(leaving, {id: 'i-1'});
	const others = [createBackend(staying, {id: 'i-2'}), createBackend(entry, {id: 'i-3'})];
	leaving.start();
	await leaver.start();
	await leaving.waitUntilReady();
	await sleep(300);
	record.write(`the controller is ${JSON.parse(store.read('cell', 'controller') ?? '{}').vmId}`);
	for (const [index, machine] of [staying, entry].entries()) {
		machine.start();
		await others[index].start();
	}

	await Promise.all([staying, entry].map(machine => machine.waitUntilReady()));
	await sleep(4000);
	const client = createClient(entry, 'job');
	client.startLoad(50, () => ({
		method: 'POST', host: 'print.example', path: '/print/1', deadlineMs: 4000, body: Buffer.alloc(300, 'x'),
	}));
	await sleep(3000);

	// A heartbeat of before the leave call is under way, and arrives 2 s late.
	leaver.stopHeartbeats();
	const delayed = leaver.createHeartbeat();
	record.write(`i-1: heartbeat ${delayed.seq} (ready) is sent and delayed on its way`);
	setTimeout(async () => {
		const answer = await leaver.call('Heartbeat', delayed);
		record.write(`i-1: heartbeat ${delayed.seq} arrives: ${answer === undefined ? 'not acknowledged' : 'acknowledged'}`);
	}, 2000);
	await sleep(20);
	const acknowledged = await leaver.call('Deregister', {born: leaver.born});
	const acknowledgedMs = performance.now();
	record.write(`i-1: leave call ${acknowledged === undefined ? 'not acknowledged' : 'acknowledged'} by ${leaving.name}`);
	if (acknowledged === undefined) {
		throw new Error('the leave call was not acknowledged');
	}

	let touchMs = acknowledgedMs;
	if (hasTrouble) {
		await leaving.kill();
		await sleep(500);
		leaving.start();
		await leaving.waitUntilReady();
		// The machine is in touch again once its process has run for `contact_s`.
		touchMs = performance.now() + (bounds.contact_s * 1000);
	}

	// The server serves on for some seconds, and exits.
	await sleep(9000 - (performance.now() - acknowledgedMs));
	leaver.exit('it left 9 s ago');
	client.stop();
	await sleep(2500);
	const sentMs = new Map(client.results.map(result => [result.id, result.sentMs]));
	const lateMs = Math.max(acknowledgedMs + (bounds.drain_s * 1000), touchMs);
	const all = leaver.arrivals.filter(({id}) => sentMs.get(id) > acknowledgedMs + (bounds.drain_s * 1000));
	const counted = leaver.arrivals.filter(({id, atMs}) => sentMs.get(id) > lateMs && atMs > lateMs);
	const lost = client.results.filter(({id, status}) => status !== 200 && leaver.arrivals.some(arrival => arrival.id === id));
	record.write(`${lost.length} jobs that i-1 had begun have no answer of it`);
	record.write(`${all.length} requests that were sent later than drain_s after the acknowledgement reached i-1; ${counted.length} of them were sent by machines in touch`);
	return counted.length === 0;
});
