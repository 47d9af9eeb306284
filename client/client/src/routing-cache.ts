import {toBuckthornpointError, BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import type {RoutingDocument} from '@buckthornpoint/types/routing-document.js';
import {decodeRoutingDocument, isNewer} from './routing-document.js';

const statusOk = 200;

/** The newest routing document that the client knows. Any node can be asked for it. */
export class RoutingCache {
	readonly #seeds: readonly string[];
	readonly #timeoutMs: number;
	#document: RoutingDocument | undefined;
	#fetching: Promise<Result<RoutingDocument, BuckthornpointError>> | undefined;
	/** The node that answered last; it is asked first. */
	#answered: string | undefined;

	/** `seeds` are origins of nodes to ask before any others are known; each is waited for `timeoutMs`, in milliseconds. */
	constructor(seeds: readonly string[], timeoutMs: number) {
		this.#seeds = seeds;
		this.#timeoutMs = timeoutMs;
	}

	/** Returns the known document, or asks for it when none is known. */
	async load(): Promise<Result<RoutingDocument, BuckthornpointError>> {
		return this.#document === undefined ? this.refresh() : ok(this.#document);
	}

	/** Asks nodes for a newer document, one after the other until one answers. Callers at the same time share one question. */
	async refresh(): Promise<Result<RoutingDocument, BuckthornpointError>> {
		this.#fetching ??= this.#askNodes().finally(() => {
			this.#fetching = undefined;
		});
		return this.#fetching;
	}

	async #askNodes(): Promise<Result<RoutingDocument, BuckthornpointError>> {
		const origins = new Set([...this.#seeds, ...this.#document?.members.map(({callerOrigin}) => callerOrigin) ?? []]);
		const preferred = this.#answered === undefined ? [] : [this.#answered];
		let lastError = new BuckthornpointError('ERR_PEER_UNREACHABLE', 'the client knows no node', {hint: 'name at least one origin in nodes'});
		for (const origin of new Set([...preferred, ...origins])) {
			const asked = await askNode(origin, this.#timeoutMs);
			if (asked.isOk()) {
				this.#answered = origin;
				this.#document = isNewer(asked.value, this.#document) ? asked.value : this.#document ?? asked.value;
				return ok(this.#document);
			}

			lastError = asked.error;
		}

		return err(lastError);
	}
}

async function askNode(origin: string, timeoutMs: number): Promise<Result<RoutingDocument, BuckthornpointError>> {
	try {
		const response = await request(`${origin}/v1/routing`, {signal: AbortSignal.timeout(timeoutMs)});
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
