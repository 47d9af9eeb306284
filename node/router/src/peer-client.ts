import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {OutcomeQuestion, OutcomeReport} from '@buckthornpoint/guard/outcome-question.js';
import {PeerService} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import {createOutcomeUnknown, type RequestResult, type RoutedRequest} from '@buckthornpoint/types/requests.js';
import {
	decodeReport, decodeResult, encodeQuestion, encodeRequest,
} from './convert.js';

type PeerServiceClient = Client<typeof PeerService>;

/** Calls other nodes. Keeps one connection to each. */
export class PeerClient {
	readonly #clients = new Map<string, PeerServiceClient>();

	/** Hands a request to the node at the origin. */
	async forward(peerOrigin: string, routed: RoutedRequest, signal: AbortSignal): Promise<RequestResult> {
		try {
			const response = await this.#getClient(peerOrigin).forward(encodeRequest(routed), {signal, timeoutMs: routed.remainingMs});
			return decodeResult(routed.requestId, response);
		} catch (error) {
			return createOutcomeUnknown(routed.requestId, 'peer-unreachable', `the owner's node did not answer: ${String(error)}`);
		}
	}

	/** Asks the node at the origin what became of a request. */
	async findOutcome(peerOrigin: string, question: OutcomeQuestion, signal: AbortSignal): Promise<OutcomeReport> {
		try {
			return decodeReport(question.requestId, await this.#getClient(peerOrigin).findOutcome(encodeQuestion(question), {signal}));
		} catch {
			return {state: 'unknown'};
		}
	}

	#getClient(peerOrigin: string): PeerServiceClient {
		const known = this.#clients.get(peerOrigin);
		if (known !== undefined) {
			return known;
		}

		const client = createClient(PeerService, createConnectTransport({baseUrl: peerOrigin, httpVersion: '2'}));
		this.#clients.set(peerOrigin, client);
		return client;
	}
}
