import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import process from 'node:process';
import {StandInBackendServer} from '@buckthornpoint/backend-server/backend-server.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {createSystemRandom} from '@buckthornpoint/clock/system-random.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';

const announceIntervalMs = 500;
const requestsPerStep = 20;
const coldSlowdown = 10;

/** Runs a table service until SIGTERM or SIGINT; prints its origin as JSON once it listens. */
export async function runTableService(port: number): Promise<void> {
	const service = new TableService(new SystemClock());
	printOrigin(await service.open(port));
	await waitForStop();
	await service.close();
}

/** Runs a backend server until SIGTERM or SIGINT; prints its origin as JSON once it listens. */
export async function runBackendServer(values: Readonly<Record<string, unknown>>): Promise<void> {
	const concurrency = Number(values['cold-concurrency']);
	const server = new StandInBackendServer(new SystemClock(), {
		name: String(values.name),
		service: String(values.service),
		slots: Number(values.slots),
		checksFence: values['checks-fence'] === true,
		incarnation: randomUUID(),
		nodeOrigin: String(values.node),
		serviceTimeMs: Number(values['service-time']),
		announceIntervalMs,
		port: Number(values.port),
		random: createSystemRandom(),
		coldStart: concurrency > 0 ? {concurrency, requestsPerStep, slowdown: coldSlowdown} : undefined,
	});
	await server.open();
	printOrigin(server.origin);
	await waitForStop();
	await server.close();
}

async function waitForStop(): Promise<void> {
	await Promise.race([once(process, 'SIGTERM'), once(process, 'SIGINT')]);
}

function printOrigin(origin: string): void {
	process.stdout.write(`${JSON.stringify({origin})}\n`);
}
