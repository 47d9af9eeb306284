/* eslint-disable no-await-in-loop, no-void, no-unmodified-loop-condition, @stylistic/max-len -- a script of its own: it plays steps one after the other, writes the names of the platform, and ends with an exit code */
// All processes are killed right after a leave was acknowledged while the store was down.
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
	Backend, Client, createConfiguration, createHost, findPort, formatHead, Machine, readNow, runCase, sleep, Store, waitUntil,
} from '../common-2/harness.mjs';

const route = {
	name: 'prints', host: 'prints.example', prefix: '/prints/', service: 'nyomda', kind: 'non_idempotent',
};
const drainS = 2;
const contactS = 3;
/** How long the server serves on after its leave was acknowledged. */
const leavingS = 14;
const workMs = 210;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, hasTrouble, add}) => {
	const store = add(new Store());
	const storeHost = createHost();
	await store.listen(storeHost, await findPort(storeHost));
	store.putOperatorRow('config', createConfiguration(1, [route], [{name: route.service}]));
	const machines = ['a', 'a', 'b'].map((zone, index) => add(new Machine({
		name: `sidecar-hu-central-${zone}-${index + 1}`, zone: `hu-central-${zone}`, host: createHost(), service: route.service, store, record,
	})));
	const sent = new Map();
	const runs = [];
	for (const [index, machine] of machines.entries()) {
		await machine.prepare();
		machine.start();
		machine.backend = add(new Backend(machine, {
			id: `i-${index}`,
			handle(request, connection, backend) {
				runs.push({id: request.id, backend: backend.id, atS: readNow()});
				setTimeout(() => connection.write(`${formatHead(request.id, {'Content-Length': 2})}ok`), workMs);
			},
		}));
		await machine.backend.start();
	}

	let count = 0;
	const send = async machine => {
		const id = `job-${++count}`;
		sent.set(id, {machine, atS: readNow()});
		const client = new Client(machine.listen.outbound, {
			method: 'POST', path: '/prints/1', host: route.host, id, deadlineMs: 4000, body: 'job',
		});
		await Promise.race([client.finished, sleep(4500)]);
		client.socket.destroy();
		sent.get(id).answer = client.head?.status ?? client.end ?? 'none';
		return sent.get(id).answer;
	};

	for (const machine of machines) {
		await waitUntil(`${machine.name} is ready`, () => machine.isReady());
		await waitUntil(`${machine.name} serves`, async () => await send(machine) === 200);
	}

	await sleep(3000);
	// The server that leaves stands beside a node that is not the controller.
	const isController = machine => machine.log.includes('"kind":"took-over"');
	const leaver = machines.find(machine => !isController(machine));
	const {backend} = leaver;
	let isSending = true;
	const load = Promise.all(machines.map(async machine => {
		while (isSending) {
			void send(machine);
			await sleep(50);
		}
	}));
	let storeDownS = 0;
	if (hasTrouble) {
		store.setRefusing(true);
		storeDownS = readNow();
		record.add('the store answers 503 from now on');
		await sleep(1000);
	}

	const arrive = backend.createLateBeat();
	record.add(`${backend.id} sends a heartbeat that is held up, and then its leave call`);
	const isAcknowledged = await backend.deregister();
	const acknowledgedS = readNow();
	record.add(`the leave call of ${backend.id} was ${isAcknowledged ? 'acknowledged' : 'not acknowledged'}`);
	if (!isAcknowledged) {
		return undefined;
	}

	const exit = setTimeout(() => {
		const open = runs.filter(run => run.backend === backend.id && readNow() - run.atS < workMs / 1000);
		record.add(`${backend.id} exits; it is still at work on ${open.length} requests`);
		backend.close();
	}, leavingS * 1000);
	let inTouchS = acknowledgedS;
	if (hasTrouble) {
		for (const machine of machines) {
			machine.signal('SIGKILL');
		}

		await Promise.all(machines.map(({ended}) => ended));
		await sleep(500);
		for (const machine of machines) {
			machine.log = '';
			machine.start();
		}

		await sleep(500);
		store.setRefusing(false);
		record.add(`the store answers again, after ${(readNow() - storeDownS).toFixed(1)} s`);
		for (const machine of machines) {
			await waitUntil(`${machine.name} is ready again`, () => machine.isReady());
		}

		inTouchS = readNow() + contactS;
	}

	await sleep(Math.max(0, ((acknowledgedS + 2.5) - readNow()) * 1000));
	record.add(`the heartbeat that ${backend.id} sent before its leave call arrives, ${(readNow() - acknowledgedS).toFixed(1)} s late: ${JSON.stringify(await arrive())}`);
	await sleep(((acknowledgedS + leavingS) - readNow() + 1) * 1000);
	isSending = false;
	await load;
	await sleep(1500);
	clearTimeout(exit);
	const fromS = Math.max(acknowledgedS + drainS, inTouchS);
	const late = runs.filter(run => run.backend === backend.id && run.atS > fromS && (sent.get(run.id)?.atS ?? 0) > fromS);
	for (const run of late) {
		record.add(`${run.id}, sent at ${sent.get(run.id).atS.toFixed(3)} s to ${sent.get(run.id).machine.name}, reached ${run.backend} at ${run.atS.toFixed(3)} s: ${(run.atS - acknowledgedS).toFixed(1)} s after the acknowledgement; answer ${sent.get(run.id).answer}`);
	}

	record.add(`${late.length} requests that were sent by machines in touch later than drain_s (${drainS} s) after the acknowledgement reached ${backend.id}; ${late.filter(run => sent.get(run.id).answer !== 200).length} of them were not answered 200`);
	// A machine is in touch from contact_s after it is back; the core is stable from contact_s after the store is back, which is earlier.
	return late.length === 0;
});
