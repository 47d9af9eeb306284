import type {BackendServerFaults} from '@buckthornpoint/backend-server/faults.js';
import type {BackendServerCounts} from '@buckthornpoint/backend-server/run-log.js';
import {request} from 'undici';

/** Returns what the backend server at the origin counted since its start. */
export async function readCounts(origin: string): Promise<BackendServerCounts> {
	const response = await request(`${origin}/buckthornpoint/counts`);
	return await response.body.json() as BackendServerCounts; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/** Returns how often each request ran at the backend server, by request id. */
export async function readRuns(origin: string): Promise<ReadonlyMap<string, number>> {
	const response = await request(`${origin}/buckthornpoint/runs`);
	return new Map(Object.entries(await response.body.json() as Readonly<Record<string, number>>)); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/** Changes some of the faults of the backend server. */
export async function setFaults(origin: string, faults: Partial<BackendServerFaults>): Promise<void> {
	await sendOrder('PUT', `${origin}/buckthornpoint/faults`, faults);
}

/** Makes the backend server cold: `restart` with a new incarnation, `cold` without telling anybody. */
export async function setCold(origin: string, how: 'restart' | 'cold'): Promise<void> {
	await sendOrder('POST', `${origin}/buckthornpoint/${how}`, {});
}

async function sendOrder(method: 'PUT' | 'POST', url: string, document: unknown): Promise<void> {
	try {
		const response = await request(url, {method, headers: {'content-type': 'application/json'}, body: JSON.stringify(document)});
		await response.body.dump();
	} catch {
		// A restart cuts the connection on which it was asked for.
	}
}
