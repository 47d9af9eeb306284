import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {PeerService} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import {createOutcomeUnknown, type RequestResult, type RoutedRequest} from '@buckthornpoint/types/requests.js';
import {decodeResult, encodeRequest} from './convert.js';

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
