import {
	createNotRunFailure, createOutcomeUnknownFailure, type FailureReason, type Header, type RequestResult,
} from '@buckthornpoint/types/requests.js';
import {
	Codec, number, optional, string,
} from 'purify-ts';
import {createPool} from '@buckthornpoint/http1/create-pool.js';
import type {Dispatcher, Pool} from 'undici';

const outcomeHeader = 'buckthornpoint-outcome';
const requestIdHeader = 'buckthornpoint-request-id';
const unreachableCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);
const failureCodec = Codec.interface({reason: string, message: string, retryAfterMs: optional(number)});

/** One attempt at a request. */
export type Attempt = {
	readonly requestId: string;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array | string | undefined;
};

/** The connections of a client to nodes, by origin. */
export class NodeConnections {
	readonly #connections: number;
	readonly #pools = new Map<string, Pool>();
	readonly #running = new Map<string, number>();

	/** `connections` is the maximum number of connections to one node. */
	constructor(connections: number) {
		this.#connections = connections;
	}

	/** Returns the number of requests of this client that the node has not answered yet. */
	countRunning(origin: string): number {
		return this.#running.get(origin) ?? 0;
	}

	/** Sends one attempt and returns the complete answer or a typed failure. Never throws. */
	async send(origin: string, attempt: Attempt, signal: AbortSignal): Promise<RequestResult> {
		this.#running.set(origin, this.countRunning(origin) + 1);
		try {
			const {method, path, headers, body} = attempt;
			const response = await this.#getPool(origin).request({
				method, path, headers, body, signal,
			});
			return createResult(attempt.requestId, response, await response.body.bytes());
		} catch (error) {
			return createFailure(attempt.requestId, error, signal);
		} finally {
			this.#running.set(origin, this.countRunning(origin) - 1);
		}
	}

	/** Closes all connections; requests that still run on them fail. */
	async close(): Promise<void> {
		await Promise.all([...this.#pools.values()].map(async pool => pool.destroy()));
	}

	#getPool(origin: string): Pool {
		const existing = this.#pools.get(origin);
		if (existing !== undefined) {
			return existing;
		}

		const pool = createPool(origin, {connections: this.#connections, pipelining: 1});
		this.#pools.set(origin, pool);
		return pool;
	}
}

function createResult(requestId: string, response: Dispatcher.ResponseData, body: Uint8Array): RequestResult {
	if (response.headers[requestIdHeader] !== requestId) {
		return createOutcomeUnknownFailure(requestId, 'lost-answer', 'the answer of the node belongs to another request');
	}

	const outcome = response.headers[outcomeHeader];
	if (outcome === undefined) {
		return {
			kind: 'answer', requestId, status: response.statusCode, headers: listHeaders(response.headers), body,
		};
	}

	const failure = failureCodec.decode(parseJson(body));
	const {reason, message, retryAfterMs} = failure.orDefault({reason: 'lost-answer', message: 'the failure that the node reported is malformed', retryAfterMs: undefined});
	return outcome === 'not-run'
		? createNotRunFailure(requestId, reason as FailureReason, message, retryAfterMs) // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		: createOutcomeUnknownFailure(requestId, reason as FailureReason, message); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

function createFailure(requestId: string, error: unknown, signal: AbortSignal): RequestResult {
	if (error instanceof Error && 'code' in error && unreachableCodes.has(String(error.code))) {
		return createNotRunFailure(requestId, 'peer-unreachable', 'no connection to the node could be opened');
	}

	const reason = signal.aborted ? 'deadline-exceeded' : 'lost-answer';
	return createOutcomeUnknownFailure(requestId, reason, `no complete answer was received from the node: ${String(error)}`);
}

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder().decode(body)) as unknown;
	} catch {
		return undefined;
	}
}

function listHeaders(headers: Dispatcher.ResponseData['headers']): readonly Header[] {
	return Object.entries(headers).flatMap(([name, value]): readonly Header[] => {
		if (value === undefined) {
			return [];
		}

		return Array.isArray(value) ? value.map((item): Header => [name, item]) : [[name, value]];
	});
}
