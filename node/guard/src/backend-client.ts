import {
	createNotRunFailure, createOutcomeUnknownFailure, type FailureReason, type Header, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import {formatFence, type Fence} from '@buckthornpoint/types/identity.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {AnswerMemoryLimit} from '@buckthornpoint/http1/answer-memory-limit.js';
import {createPool} from '@buckthornpoint/http1/create-pool.js';
import type {Dispatcher, Pool} from 'undici';

const refusedHeader = 'buckthornpoint-refused';
/** Error codes that occur only before a connection is established: the request was not sent. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'proxy-connection', 'host', 'content-length', 'expect']);

/** Limits on the use of one backend server. */
export type BackendClientOpts = {
	/** Maximum number of open connections. */
	readonly maxConnections: number;
};

/** Options for sending one request. */
export type SendOpts = {
	/** Absent for a request that needs no grant. */
	readonly fence: Fence | undefined;
	/** Time in which the backend server must answer. */
	readonly deadlineMs: number;
	/** Aborts the request; the reason of the signal is a `FailureReason`. */
	readonly signal: AbortSignal;
};

/** HTTP client of the local backend server. */
export class BackendClient {
	readonly #pool: Pool;

	constructor(backendServer: BackendServer, opts: BackendClientOpts) {
		this.#pool = createPool(backendServer.origin, {connections: opts.maxConnections, pipelining: 1, memoryLimit: new AnswerMemoryLimit()});
	}

	/** Sends the request with the fence and returns the complete answer, or a failure that says whether the request may have been executed. */
	async send(routed: RoutedRequest, opts: SendOpts): Promise<RequestResult> {
		try {
			const response = await this.#pool.request({
				method: routed.method,
				path: routed.path,
				headers: createHeaders(routed, opts),
				body: routed.body.length === 0 ? undefined : routed.body,
				idempotent: routed.idempotent,
				signal: opts.signal,
			});
			const body = await response.body.bytes();
			return createResult(routed, opts.fence, response, body);
		} catch (error) {
			return createFailure(routed, error, opts.signal);
		}
	}

	/** Closes all connections and aborts the requests on them. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}

/** Returns whether two announcements describe the same instance of a backend server with the same settings. */
export function isSameInstance(left: BackendServer, right: BackendServer): boolean {
	return left.incarnation === right.incarnation && left.origin === right.origin && left.slots === right.slots && left.service === right.service;
}

function createResult(routed: RoutedRequest, fence: Fence | undefined, response: Dispatcher.ResponseData, body: Uint8Array): RequestResult {
	const refused = response.headers[refusedHeader];
	if (refused !== undefined) {
		return createNotRunFailure(routed.requestId, 'backend-server-refused', `the backend server refused the request: ${String(refused)}`);
	}

	const echoed = response.headers['buckthornpoint-request-id'];
	if (echoed !== undefined && echoed !== routed.requestId) {
		return createOutcomeUnknownFailure(routed.requestId, 'lost-answer', 'the backend server answered another request');
	}

	return {
		kind: 'answer', requestId: routed.requestId, status: response.statusCode, headers: listHeaders(response.headers), body, fence,
	};
}

function createFailure(routed: RoutedRequest, error: unknown, signal: AbortSignal): RequestResult {
	if (signal.aborted) {
		const reason = signal.reason as FailureReason; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		return createOutcomeUnknownFailure(routed.requestId, reason, `the request was given up while it ran: ${reason}`);
	}

	if (error instanceof Error && 'code' in error && connectErrorCodes.has(String(error.code))) {
		return createNotRunFailure(routed.requestId, 'backend-server-unreachable', 'the backend server accepted no connection');
	}

	return createOutcomeUnknownFailure(routed.requestId, 'lost-answer', `the answer of the backend server was lost: ${String(error)}`);
}

function createHeaders(routed: RoutedRequest, opts: SendOpts): Record<string, string> {
	const headers: Record<string, string> = {};
	for (const [name, value] of routed.headers) {
		if (!hopByHopHeaders.has(name)) {
			headers[name] = headers[name] === undefined ? value : `${headers[name]}, ${value}`;
		}
	}

	headers['buckthornpoint-request-id'] = routed.requestId;
	headers['buckthornpoint-service'] = routed.service;
	headers['buckthornpoint-key'] = routed.key;
	headers['buckthornpoint-partition'] = String(routed.partition);
	headers['buckthornpoint-deadline-ms'] = String(Math.max(0, Math.floor(opts.deadlineMs)));
	if (opts.fence !== undefined) {
		headers['buckthornpoint-fence'] = formatFence(opts.fence);
	}

	return headers;
}

function listHeaders(headers: Dispatcher.ResponseData['headers']): readonly Header[] {
	return Object.entries(headers).flatMap(([name, value]): readonly Header[] => {
		if (value === undefined || hopByHopHeaders.has(name)) {
			return [];
		}

		return Array.isArray(value) ? value.map((single): Header => [name, single]) : [[name, value]];
	});
}
