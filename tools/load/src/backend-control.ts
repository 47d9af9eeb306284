import type {BackendServerFaults} from '@buckthornpoint/backend-server/faults.js';
import type {BackendServerCounts} from '@buckthornpoint/backend-server/run-counter.js';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';

/** Fetches the request counters of the backend server at the origin, counted since its start. */
export async function readCounts(origin: string): Promise<BackendServerCounts> {
	const response = await sendRequest(`${origin}/buckthornpoint/counts`);
	return await response.body.json() as BackendServerCounts; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/** Fetches how often each request was executed by the backend server, by request id. */
export async function readRuns(origin: string): Promise<ReadonlyMap<string, number>> {
	const response = await sendRequest(`${origin}/buckthornpoint/runs`);
	return new Map(Object.entries(await response.body.json() as Readonly<Record<string, number>>)); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/** Updates the injected faults of the backend server; faults that are not given keep their value. */
export async function setFaults(origin: string, faults: Partial<BackendServerFaults>): Promise<void> {
	await sendCommand('PUT', `${origin}/buckthornpoint/faults`, faults);
}

/** Makes the backend server cold: `restart` simulates a restart with a new incarnation, `cold` does so without an announcement. */
export async function setCold(origin: string, mode: 'restart' | 'cold'): Promise<void> {
	await sendCommand('POST', `${origin}/buckthornpoint/${mode}`, {});
}

async function sendCommand(method: 'PUT' | 'POST', url: string, document: unknown): Promise<void> {
	try {
		const response = await sendRequest(url, {method, headers: {'content-type': 'application/json'}, body: JSON.stringify(document)});
		await response.body.dump();
	} catch {
		// A restart closes all connections, including the one that carried this request.
	}
}
