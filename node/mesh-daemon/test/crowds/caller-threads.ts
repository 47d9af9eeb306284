import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

/** What the callers of a thread do. */
export type CallerTask = {
	/** Address of the node, `host:port`. */
	readonly address: string;
	readonly host: string;
	readonly method: string;
	readonly path: string;
	/** Prefix of the request ids. */
	readonly prefix: string;
	readonly callers: number;
	/** Whether a caller sends its requests on one connection; otherwise each on a new one. */
	readonly keepsConnections: boolean;
	readonly deadlineMs: number;
	/** Time after which a caller gives a request up. */
	readonly patienceMs: number;
	/** Time during which callers send further requests; with 0 each sends one. */
	readonly durationMs: number;
};

/** How one request ended. */
export type CallerReport = {
	/** When it was sent, as a Unix time. */
	readonly sentMs: number;
	/** How long the connection took to be established; 0 for one that is kept. */
	readonly connectMs: number;
	/** Time from the sending to the answer. */
	readonly heldMs: number;
	/** 0 if the connection ended without an answer, -1 if the caller gave up. */
	readonly status: number;
};

/** Runs callers in a thread of their own until they are done. */
export async function runCallers(task: CallerTask): Promise<readonly CallerReport[]> {
	const worker = new Worker(new URL('caller-worker.js', import.meta.url), {workerData: task});
	const [reports] = await once(worker, 'message') as [readonly CallerReport[]]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	await worker.terminate();
	return reports;
}
