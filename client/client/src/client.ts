import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {RequestClass} from '@buckthornpoint/types/configuration.js';
import {createNotRun, type FailureReason, type RequestResult} from '@buckthornpoint/types/requests.js';
import {v7 as createUuid} from 'uuid';
import type {RoutingDocument} from '@buckthornpoint/types/routing-document.js';
import {chooseNode, findRule, type RoutingQuestion} from './choose-node.js';
import {NodeConnections, type Attempt} from './node-connections.js';
import {RoutingCache} from './routing-cache.js';

const defaultConnections = 16;
const fallbackDeadlineMs = 1000;
const maxAttempts = 4;
/** A node that has not said who owns what within this time, in milliseconds, is passed over: two requests would be over by then. */
const defaultRoutingTimeoutMs = 2 * fallbackDeadlineMs;
const firstDelayMs = 20;
const reroutedReasons: ReadonlySet<FailureReason> = new Set(['incarnation-mismatch', 'lease-not-held', 'no-owner', 'peer-unreachable', 'service-unknown', 'stopping']);

/** What a client is created with. */
export type ClientOpts = {
	/** Origins of the caller interface of some nodes. One that answers is enough; the others are learned. */
	readonly nodes: readonly string[];
	readonly clock: Clock;
	readonly random: RandomSource;
	/** The most connections to one node. */
	readonly connectionsPerNode?: number;
	/** How long one node is waited for when it is asked for the routing table, in milliseconds. */
	readonly routingTimeoutMs?: number;
};

/** A request of a caller. */
export type ClientRequest = {
	readonly service: string;
	/** Required for services that are divided by key. */
	readonly key?: string;
	/** HTTP method in capitals. */
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: Uint8Array | string;
	/** A UUIDv7; drawn when absent. The same id is never run twice, through whichever node it is sent. */
	readonly requestId?: string;
	/** Time until nobody waits for the answer, in milliseconds; that of the rule by default. */
	readonly deadlineMs?: number;
	readonly requestClass?: RequestClass;
	/** Aborts when nobody waits for the answer any longer. */
	readonly signal?: AbortSignal;
};

/** Sends requests straight to the node of their key's owner. */
export type Client = {
	/** Returns the whole answer or a typed failure; never throws. Waits at most until the deadline. */
	request(request: ClientRequest): Promise<RequestResult>;
	/** Closes all connections; what runs on them is lost. */
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
	/** Whether the client has drawn the id. */
	readonly isNew: boolean;
};

type Prepared = {
	readonly attempt: Attempt;
	readonly question: RoutingQuestion;
	readonly signal: AbortSignal;
	readonly endMs: number;
	/** Whether the client has drawn the id, and so knows how often it was sent. */
	readonly isNew: boolean;
};

class RequestSender {
	readonly #opts: ClientOpts;
	readonly #routing: RoutingCache;
	readonly #connections: NodeConnections;

	constructor(opts: ClientOpts) {
		this.#opts = opts;
		this.#routing = new RoutingCache(opts.nodes, opts.routingTimeoutMs ?? defaultRoutingTimeoutMs);
		this.#connections = new NodeConnections(opts.connectionsPerNode ?? defaultConnections);
	}

	async send(request: ClientRequest): Promise<RequestResult> {
		const requestId = request.requestId ?? createUuid();
		const isNew = request.requestId === undefined;
		const loaded = await this.#routing.load();
		if (loaded.isErr()) {
			return createNotRun(requestId, 'peer-unreachable', loaded.error.message);
		}

		const prepared = this.#buildAttempt({...request, requestId, isNew}, loaded.value);
		return 'kind' in prepared ? prepared : this.#sendUntilRun(prepared, loaded.value);
	}

	async close(): Promise<void> {
		await this.#connections.close();
	}

	// Sends again only what is proved not to have run because of a stale table or a node that is gone.
	async #sendUntilRun(prepared: Prepared, known: RoutingDocument): Promise<RequestResult> {
		let document = known;
		let result = await this.#sendOnce(prepared, document, 1);
		for (let attempts = 1; attempts < maxAttempts && mayRetry(result); attempts++) {
			await this.#opts.clock.sleep(this.#drawDelay(attempts), prepared.signal);
			if (prepared.signal.aborted) {
				return result;
			}

			const refreshed = await this.#routing.refresh();
			document = refreshed.unwrapOr(document);
			result = await this.#sendOnce(prepared, document, attempts + 1);
		}

		return result;
	}

	async #sendOnce({attempt, question, signal, endMs, isNew}: Prepared, document: RoutingDocument, sending: number): Promise<RequestResult> {
		const origin = chooseNode(question, document, candidate => this.#connections.countRunning(candidate), this.#opts.random);
		if (origin === undefined) {
			return createNotRun(attempt.requestId, 'no-owner', 'the routing table names no owner');
		}

		const remainingMs = Math.floor(endMs - this.#opts.clock.readMoment().monotonicMs);
		if (remainingMs <= 0) {
			return createNotRun(attempt.requestId, 'deadline-exceeded', 'the deadline passed before the request was sent');
		}

		const headers = {...attempt.headers, 'buckthornpoint-deadline-ms': String(remainingMs), ...isNew && {'buckthornpoint-attempt': String(sending)}};
		return this.#connections.send(origin, {...attempt, headers}, signal);
	}

	#buildAttempt(request: IdentifiedRequest, document: RoutingDocument): Prepared | RequestResult {
		const service = document.services.find(({name}) => name === request.service);
		if (service === undefined) {
			return createNotRun(request.requestId, 'service-unknown', `no service is called ${request.service}`);
		}

		if (service.divided && request.key === undefined) {
			return createNotRun(request.requestId, 'invalid-request', `${request.service} is divided by key, and the request names none`);
		}

		const rule = findRule(service, request.method, request.path);
		const deadlineMs = request.deadlineMs ?? rule?.defaultDeadlineMs ?? fallbackDeadlineMs;
		const timeout = AbortSignal.timeout(deadlineMs);
		return {
			attempt: {
				requestId: request.requestId, method: request.method, path: request.path, headers: createHeaders(request), body: request.body,
			},
			question: {
				requestId: request.requestId, service, key: request.key, idempotent: rule?.idempotent ?? false,
			},
			signal: request.signal === undefined ? timeout : AbortSignal.any([timeout, request.signal]),
			isNew: request.isNew,
			endMs: this.#opts.clock.readMoment().monotonicMs + deadlineMs,
		};
	}

	#drawDelay(attempts: number): number {
		return firstDelayMs * (2 ** attempts) * this.#opts.random.drawFraction();
	}
}

function mayRetry(result: RequestResult): boolean {
	return result.kind === 'failure' && result.outcome === 'not-run' && reroutedReasons.has(result.reason);
}

function createHeaders(request: IdentifiedRequest): Record<string, string> {
	return {
		...request.headers,
		'buckthornpoint-service': request.service,
		'buckthornpoint-request-id': request.requestId,
		// Sent again only after `not-run`, so a node may prove of an id that was drawn here that it never ran.
		...request.isNew ? {'buckthornpoint-earlier-outcome': 'not-run'} : {},
		...request.key === undefined ? {} : {'buckthornpoint-key': request.key},
		...request.requestClass === undefined ? {} : {'buckthornpoint-class': request.requestClass},
	};
}
