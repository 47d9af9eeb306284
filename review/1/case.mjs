/* eslint-disable camelcase, no-await-in-loop, no-unmodified-loop-condition -- names of the platform's interfaces; steps of a script follow one another */
// A node process is killed and started again while the zone of its backend server is evacuated, and another zone is without power.
import {
	createConfiguration, hasTrouble, runCase, sleep,
} from '../common/harness.mjs';

const rounds = 4;
const maxOverlapMs = 500;
/** Below the 5.5 s of `zone_loss`, as each step takes some milliseconds. */
const darkMs = 5300;

await runCase(import.meta.dirname, async ({record, store, createMachine, createBackend, createClient}) => {
	const staying = await createMachine({name: 'sidecar-b-1', zone: 'b', service: 'katalogus'});
	const evacuated = await createMachine({name: 'sidecar-a-1', zone: 'a', service: 'katalogus'});
	const dark = await Promise.all([1, 2, 3, 4].map(number => createMachine({name: `sidecar-c-${number}`, zone: 'c', service: 'szamla'})));
	const machines = [staying, evacuated, ...dark];
	store.writeOperatorRow('config', createConfiguration(3, {
		routes: [
			{
				name: 'r-design', host: 'design.example', prefix: '/design/', route_kind: 'idempotent', timeout_s: 1.5, target_latency_s: 0.5, priority: 2, service: 'katalogus', max_attempts: 2,
			},
		],
		services: [{
			name: 'katalogus', max_conns: 100, cold_start_s: 3, cold_per_s: 24, is_sharded: true, warmup_s: 3, grants: 'heartbeat',
		}, {
			name: 'szamla', max_conns: 100, cold_start_s: 3, cold_per_s: 24,
		}],
	}));
	const backends = machines.map((machine, index) => createBackend(machine, {id: `i-${index + 1}`, isSharded: index < 2, getWorkMs: () => 60}));
	const [holder2, holder1] = backends;
	staying.start();
	await holder2.start();
	await staying.waitUntilReady();
	await sleep(300);
	record.write(`the controller is ${JSON.parse(store.read('cell', 'controller') ?? '{}').vmId}`);
	for (const [index, machine] of machines.entries()) {
		if (index > 0) {
			machine.start();
			await backends[index].start();
		}
	}

	await Promise.all(machines.map(machine => machine.waitUntilReady()));
	await sleep(8000);

	// What the two servers hold, as the servers see it.
	let sinceMs;
	let longestMs = 0;
	const watch = setInterval(() => {
		const shared = holder1.listHeld().filter(([from, to]) => holder2.listHeld().some(([otherFrom, otherTo]) => from <= otherTo && otherFrom <= to));
		if (shared.length === 0) {
			if (sinceMs !== undefined) {
				record.write(`no shared keys any more, after ${Math.round(performance.now() - sinceMs)} ms`);
			}

			sinceMs = undefined;
			return;
		}

		if (sinceMs === undefined) {
			sinceMs = performance.now();
			record.write(`both servers hold keys of ${shared.length} rows, such as ${shared[0][0]} to ${shared[0][1]}; fences ${shared[0][2]} and ${holder2.listHeld().find(([from, to]) => from <= shared[0][1] && shared[0][0] <= to)[2]}`);
		}

		longestMs = Math.max(longestMs, performance.now() - sinceMs);
	}, 10);
	const client = createClient(staying, 'design');
	client.startLoad(40, () => ({
		method: 'GET', host: 'design.example', path: '/design/1', key: Math.floor(Math.random() * 65_536), deadlineMs: 3000,
	}));
	await sleep(1000);
	for (let round = 1; round <= rounds && longestMs <= maxOverlapMs; round++) {
		record.write(`round ${round}: i-1 holds ${countKeys(holder2)} keys, i-2 holds ${countKeys(holder1)} keys`);
		if (hasTrouble) {
			record.write('zone c is without power');
			for (const machine of dark) {
				machine.signal('SIGSTOP');
			}

			await sleep(500);
			await evacuated.kill();
		}

		await sleep(200);
		record.write('the operator evacuates zone a');
		store.writeOperatorRow('evacuate/a', {});
		await sleep(300);
		if (hasTrouble) {
			evacuated.start();
		}

		await sleep(darkMs - 1000);
		if (hasTrouble) {
			for (const machine of dark) {
				await machine.kill();
				machine.start();
			}

			record.write('zone c has power again');
		}

		await sleep(1000);
		record.write('the evacuation is taken back');
		store.writeOperatorRow('evacuate/a', undefined);
		await sleep(14_000);
	}

	client.stop();
	clearInterval(watch);
	record.write(`the two servers held the same keys for ${Math.round(longestMs)} ms at most; the rule allows ${maxOverlapMs} ms`);
	return longestMs <= maxOverlapMs;
});

function countKeys(backend) {
	return backend.listHeld().reduce((sum, [from, to]) => sum + to - from + 1, 0);
}
