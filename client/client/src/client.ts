import type {Clock} from '@buckthornpoint/clock/clock.js';
import {DeadlineSignal} from '@buckthornpoint/clock/deadline-signal.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {RequestClass} from '@buckthornpoint/types/configuration.js';
import {createNotRunFailure, type FailureReason, type RequestResult} from '@buckthornpoint/types/requests.js';
import {v7 as createUuid} from 'uuid';
import type {RoutingDocument} from '@buckthornpoint/types/routing-document.js';
import {chooseNode, findRule, type RoutingCriteria} from './choose-node.js';
import {NodeConnections, type Attempt} from './node-connections.js';
import {RoutingCache} from './routing-cache.js';

const defaultConnectionsPerNode = 16;
const fallbackDeadlineMs = 1000;
const maxAttempts = 4;
/** The next node is queried if the routing table has not arrived within twice the fallback deadline of a request. */
const defaultRoutingTimeoutMs = 2 * fallbackDeadlineMs;
const baseRetryDelayMs = 20;
const retryableReasons: ReadonlySet<FailureReason> = new Set(['incarnation-mismatch', 'lease-not-held', 'no-owner', 'peer-unreachable', 'service-unknown', 'stopping']);

/** Options for creating a client. */
export type ClientOpts = {
	/** Origins of the caller interfaces of some nodes. One that answers is enough: its routing table lists the others. */
	readonly nodes: readonly string[];
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Maximum number of connections to one node. */
	readonly connectionsPerNode?: number;
	/** Time limit for fetching the routing table from one node. */
	readonly routingTimeoutMs?: number;
};

/** A request of a caller. */
export type ClientRequest = {
	readonly service: string;
	/** Required for services that are partitioned by key. */
	readonly key?: string;
	/** HTTP method in capitals. */
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: Uint8Array | string;
	/** A UUIDv7; generated when absent. A request never runs twice under the same id, whichever nodes it is sent through. */
	readonly requestId?: string;
	/** Time after which the caller no longer waits for the answer; by default that of the matching rule. */
	readonly deadlineMs?: number;
	readonly requestClass?: RequestClass;
	/** Aborts when the caller no longer waits for the answer. */
	readonly signal?: AbortSignal;
};

/** Sends each request directly to the node that owns its key. */
export type Client = {
	/** Returns the complete answer or a typed failure; never throws. Waits at most until the deadline. */
	request(request: ClientRequest): Promise<RequestResult>;
	/** Closes all connections; requests that still run on them fail. */
	close(): Promise<void>;
};

/** Creates a client. It fetches the routing table with its first request. */
export function createClient(opts: ClientOpts): Client {
	const sender = new RequestSender(opts);
	return {
		request: async request => sender.send(request),
		close: async () => sender.close(),
	};
}

type IdentifiedRequest = ClientRequest & {
	readonly requestId: string;
	/** Whether the client generated the id. */
	readonly isIdGenerated: boolean;
};

type PreparedRequest = {
	readonly attempt: Attempt;
	readonly criteria: RoutingCriteria;
	/** Closed once the request has its result. */
	readonly deadline: DeadlineSignal;
	/** The deadline on the monotonic clock. */
	readonly deadlineMonotonicMs: number;
	/** Whether the client generated the id. Only then does it know how often the id was sent, and numbers the attempts. */
	readonly isIdGenerated: boolean;
};

class RequestSender {
	readonly #opts: ClientOpts;
	readonly #routing: RoutingCache;
	readonly #connections: NodeConnections;

	constructor(opts: ClientOpts) {
		this.#opts = opts;
		this.#routing = new RoutingCache(opts.nodes, opts.routingTimeoutMs ?? defaultRoutingTimeoutMs);
		this.#connections = new NodeConnections(opts.connectionsPerNode ?? defaultConnectionsPerNode);
	}

	async send(request: ClientRequest): Promise<RequestResult> {
		const requestId = request.requestId ?? createUuid();
		const isIdGenerated = request.requestId === undefined;
		const loaded = await this.#routing.load();
		if (loaded.isErr()) {
			return createNotRunFailure(requestId, 'peer-unreachable', loaded.error.message);
		}

		const prepared = this.#buildAttempt({...request, requestId, isIdGenerated}, loaded.value);
		if ('kind' in prepared) {
			return prepared;
		}

		try {
			return await this.#sendWithRetries(prepared, loaded.value);
		} finally {
			prepared.deadline.close();
		}
	}

	async close(): Promise<void> {
		await this.#connections.close();
	}

	// Retries only requests that are proved not to have run because of a stale routing table or an unavailable node.
	async #sendWithRetries(prepared: PreparedRequest, knownDocument: RoutingDocument): Promise<RequestResult> {
		let document = knownDocument;
		let result = await this.#sendOnce(prepared, document, 1);
		for (let attempts = 1; attempts < maxAttempts && canRetry(result); attempts++) {
			await this.#opts.clock.sleep(this.#generateDelayMs(attempts), prepared.deadline.signal);
			if (prepared.deadline.signal.aborted) {
				return result;
			}

			const refreshed = await this.#routing.refresh();
			document = refreshed.unwrapOr(document);
			result = await this.#sendOnce(prepared, document, attempts + 1);
		}

		return result;
	}

	async #sendOnce({attempt, criteria, deadline, deadlineMonotonicMs, isIdGenerated}: PreparedRequest, document: RoutingDocument, attemptNumber: number): Promise<RequestResult> {
		const origin = chooseNode(criteria, document, candidate => this.#connections.countRunning(candidate), this.#opts.random);
		if (origin === undefined) {
			return createNotRunFailure(attempt.requestId, 'no-owner', 'the routing table names no owner');
		}

		const remainingMs = Math.floor(deadlineMonotonicMs - this.#opts.clock.readTimestamp().monotonicMs);
		if (remainingMs <= 0) {
			return createNotRunFailure(attempt.requestId, 'deadline-exceeded', 'the deadline passed before the request was sent');
		}

		const headers = {...attempt.headers, 'buckthornpoint-deadline-ms': String(remainingMs), ...isIdGenerated && {'buckthornpoint-attempt': String(attemptNumber)}};
		return this.#connections.send(origin, {...attempt, headers}, deadline.signal);
	}

	#buildAttempt(request: IdentifiedRequest, document: RoutingDocument): PreparedRequest | RequestResult {
		const service = document.services.find(({name}) => name === request.service);
		if (service === undefined) {
			return createNotRunFailure(request.requestId, 'service-unknown', `no service is called ${request.service}`);
		}

		if (service.divided && request.key === undefined) {
			return createNotRunFailure(request.requestId, 'invalid-request', `${request.service} is divided by key, and the request names none`);
		}

		const rule = findRule(service, request.method, request.path);
		const deadlineMs = request.deadlineMs ?? rule?.defaultDeadlineMs ?? fallbackDeadlineMs;
		return {
			attempt: {
				requestId: request.requestId, method: request.method, path: request.path, headers: buildHeaders(request), body: request.body,
			},
			criteria: {
				requestId: request.requestId, service, key: request.key, idempotent: rule?.idempotent ?? false,
			},
			deadline: new DeadlineSignal(this.#opts.clock, deadlineMs, request.signal),
			isIdGenerated: request.isIdGenerated,
			deadlineMonotonicMs: this.#opts.clock.readTimestamp().monotonicMs + deadlineMs,
		};
	}

	#generateDelayMs(attempts: number): number {
		return baseRetryDelayMs * (2 ** attempts) * this.#opts.random.generateFraction();
	}
}

function canRetry(result: RequestResult): boolean {
	return result.kind === 'failure' && result.outcome === 'not-run' && retryableReasons.has(result.reason);
}

function buildHeaders(request: IdentifiedRequest): Record<string, string> {
	return {
		...request.headers,
		'buckthornpoint-service': request.service,
		'buckthornpoint-request-id': request.requestId,
		// A generated id is sent again only after `not-run`, so the node may assume that no earlier attempt has run.
		...request.isIdGenerated ? {'buckthornpoint-earlier-outcome': 'not-run'} : {},
		...request.key === undefined ? {} : {'buckthornpoint-key': request.key},
		...request.requestClass === undefined ? {} : {'buckthornpoint-class': request.requestClass},
	};
}
