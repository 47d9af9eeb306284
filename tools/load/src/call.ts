import type {Clock} from '@buckthornpoint/clock/clock.js';
import {createPool} from '@buckthornpoint/http1/create-pool.js';
import type {Dispatcher, Pool} from 'undici';

const statusOk = 200;
const timeoutMarginMs = 2000;

/** One request of a generated load. */
export type Call = {
	readonly requestId: string;
	readonly service: string;
	readonly key: string;
	readonly method: 'GET' | 'POST';
	/** Path and body together are unique for each call, so that an answer to a different call is detected. */
	readonly path: string;
	/** Empty for GET. */
	readonly body: string;
	readonly idempotent: boolean;
	readonly deadlineMs: number;
};

/** Outcome of a call. */
export type CallResult = {
	readonly call: Call;
	readonly kind: 'answer' | 'not-run' | 'outcome-unknown';
	/** Reason for a missing answer; empty if there is an answer. */
	readonly reason: string;
	/** Whether the answer equals the expected answer to this call byte for byte; true if there is no answer to compare. */
	readonly matchesCall: boolean;
	readonly latencyMs: number;
	/** How often the call was sent on the measured path. */
	readonly attempts: number;
};

/** A path on which calls reach backend servers. */
export abstract class CallPath {
	/** Sends one call and returns its outcome. Never throws. */
	abstract send(call: Call): Promise<CallResult>;

	/** Closes all connections. */
	abstract close(): Promise<void>;
}

/** Options of `NodePath`. */
export type NodePathOpts = {
	/** Origins of the nodes, used round-robin. */
	readonly origins: readonly string[];
	readonly connectionsPerNode: number;
};

/** Sends calls by plain HTTP to the nodes round-robin, as a caller without a client library does. */
export class NodePath extends CallPath {
	readonly #clock: Clock;
	readonly #pools: readonly Pool[];
	#next = 0;

	constructor(clock: Clock, opts: NodePathOpts) {
		super();
		this.#clock = clock;
		this.#pools = opts.origins.map(origin => createPool(origin, {connections: opts.connectionsPerNode, pipelining: 1}));
	}

	override async send(call: Call): Promise<CallResult> {
		const pool = this.#pools[this.#next % this.#pools.length];
		this.#next++;
		return exchange(this.#clock, pool, call);
	}

	override async close(): Promise<void> {
		await Promise.all(this.#pools.map(async pool => pool.destroy()));
	}
}

/** Sends a call over one connection of the pool and classifies the response. */
export async function exchange(clock: Clock, pool: Pool | undefined, call: Call): Promise<CallResult> {
	const startedMs = clock.readTimestamp().monotonicMs;
	const finish = (result: Omit<CallResult, 'call' | 'latencyMs' | 'attempts'>): CallResult => ({
		...result, call, attempts: 1, latencyMs: clock.readTimestamp().monotonicMs - startedMs,
	});
	try {
		if (pool === undefined) {
			return finish({kind: 'not-run', reason: 'no-origin', matchesCall: true});
		}

		const response = await pool.request({
			method: call.method, path: call.path, body: call.method === 'GET' ? undefined : call.body, headers: createHeaders(call), signal: AbortSignal.timeout(call.deadlineMs + timeoutMarginMs),
		});
		const text = await response.body.text();
		return finish(classifyResponse(call, response, text));
	} catch (error) {
		return finish({kind: 'outcome-unknown', reason: error instanceof Error ? error.name : 'error', matchesCall: true});
	}
}

function createHeaders(call: Call): Record<string, string> {
	return {
		'content-type': 'text/plain',
		'buckthornpoint-service': call.service,
		'buckthornpoint-key': call.key,
		'buckthornpoint-request-id': call.requestId,
		'buckthornpoint-deadline-ms': String(call.deadlineMs),
	};
}

function classifyResponse(call: Call, response: Dispatcher.ResponseData, text: string): Omit<CallResult, 'call' | 'latencyMs' | 'attempts'> {
	const echoed = response.headers['buckthornpoint-request-id'];
	if (response.statusCode === statusOk) {
		return {kind: 'answer', reason: '', matchesCall: echoed === call.requestId && isExpectedBody(call, text)};
	}

	const refused = response.headers['buckthornpoint-refused'];
	if (refused !== undefined) {
		return {kind: 'not-run', reason: String(refused), matchesCall: true};
	}

	const outcome = response.headers['buckthornpoint-outcome'];
	return {kind: outcome === 'not-run' ? 'not-run' : 'outcome-unknown', reason: readReason(text), matchesCall: echoed === call.requestId};
}

function isExpectedBody(call: Call, text: string): boolean {
	const server = /^\{"server":"(?<server>[^"]*)"/v.exec(text)?.[1] ?? '';
	return text === JSON.stringify({server, path: call.path, body: call.body});
}

function readReason(text: string): string {
	return /"reason":"(?<reason>[^"]*)"/v.exec(text)?.[1] ?? /"error":"(?<error>[^"]*)"/v.exec(text)?.[1] ?? 'unnamed';
}
