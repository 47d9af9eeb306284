import {toBuckthornpointError, BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import {err, ok, type Result} from 'neverthrow';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';
import type {RoutingDocument} from '@buckthornpoint/types/routing-document.js';
import {decodeRoutingDocument, isAtLeastAsNew} from './routing-document.js';

const statusOk = 200;

/** Caches the newest routing document that any node has returned. */
export class RoutingCache {
	readonly #seeds: readonly string[];
	readonly #timeoutMs: number;
	#document: RoutingDocument | undefined;
	#fetching: Promise<Result<RoutingDocument, BuckthornpointError>> | undefined;
	/** Origin of the node that answered last; it is queried first. */
	#lastResponsive: string | undefined;

	/** `seeds` are origins of nodes to query before others are known; `timeoutMs` limits the query of one node. */
	constructor(seeds: readonly string[], timeoutMs: number) {
		this.#seeds = seeds;
		this.#timeoutMs = timeoutMs;
	}

	/** Returns the cached document, or fetches it if none is cached. */
	async load(): Promise<Result<RoutingDocument, BuckthornpointError>> {
		return this.#document === undefined ? this.refresh() : ok(this.#document);
	}

	/** Fetches a newer document, trying one node after the other until one answers. Concurrent calls share one fetch. */
	async refresh(): Promise<Result<RoutingDocument, BuckthornpointError>> {
		this.#fetching ??= this.#queryNodes().finally(() => {
			this.#fetching = undefined;
		});
		return this.#fetching;
	}

	async #queryNodes(): Promise<Result<RoutingDocument, BuckthornpointError>> {
		const origins = new Set([...this.#seeds, ...this.#document?.members.map(({callerOrigin}) => callerOrigin) ?? []]);
		const preferred = this.#lastResponsive === undefined ? [] : [this.#lastResponsive];
		let lastError = new BuckthornpointError('ERR_PEER_UNREACHABLE', 'the client knows no node', {hint: 'name at least one origin in nodes'});
		for (const origin of new Set([...preferred, ...origins])) {
			const answer = await queryNode(origin, this.#timeoutMs);
			if (answer.isOk()) {
				this.#lastResponsive = origin;
				this.#document = isAtLeastAsNew(answer.value, this.#document) ? answer.value : this.#document ?? answer.value;
				return ok(this.#document);
			}

			lastError = answer.error;
		}

		return err(lastError);
	}
}

async function queryNode(origin: string, timeoutMs: number): Promise<Result<RoutingDocument, BuckthornpointError>> {
	try {
		const response = await sendRequest(`${origin}/v1/routing`, {signal: AbortSignal.timeout(timeoutMs)});
		const body = await response.body.json();
		if (response.statusCode !== statusOk) {
			return err(new BuckthornpointError('ERR_PEER_UNREACHABLE', `${origin} answered ${response.statusCode} to the question for its routing table`));
		}

		return decodeRoutingDocument(body)
			.map(document => ok<RoutingDocument, BuckthornpointError>(document))
			.mapLeft(message => err<RoutingDocument, BuckthornpointError>(new BuckthornpointError('ERR_DOCUMENT_TYPE', `the routing table of ${origin} is malformed: ${message}`)))
			.extract();
	} catch (error) {
		return err(toBuckthornpointError(error, 'ERR_PEER_UNREACHABLE'));
	}
}
