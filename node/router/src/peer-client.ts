import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {OutcomeQuery, OutcomeReport} from '@buckthornpoint/guard/outcome-query.js';
import {PeerService} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import {
	createNotRunFailure, createOutcomeUnknownFailure, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import {createLinkedSignal} from '@buckthornpoint/tasks/linked-signal.js';
import {createClient, type Client} from '@connectrpc/connect';
import {PeerSessions} from '@buckthornpoint/protocol/peer-sessions.js';
import {createConnectTransport} from '@connectrpc/connect-node';
import {
	decodeOutcomeReport, decodeResult, encodeOutcomeQuery, encodeRequest,
} from './peer-codec.js';
import {exchangeForward} from './forward-stream.js';

/** A connection with pending requests that has carried no data for this long is probed by a ping. */
const pingIntervalMs = 250;
/** A connection whose ping is not answered in this time is closed. */
const pingTimeoutMs = 500;
const connectTimeoutMs = 400;
const idleTimeoutMs = 60_000;
/** Error codes that occur only before a connection is established: the request was not sent. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** The calls to other nodes that routers and guards use. */
export type PeerCalls = Pick<PeerClient, 'findOutcome' | 'forward'>;

type Peer = {
	readonly client: Client<typeof PeerService>;
	readonly sessions: PeerSessions;
};

/** Client for calls to other nodes. Keeps one connection to each node and replaces it when it stops answering. */
export class PeerClient {
	readonly #clock: Clock;
	readonly #peers = new Map<string, Peer>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Sends a request to the node at the origin. If no answer arrives, the failure is `not-run` only if the request was certainly not sent. */
	async forward(peerOrigin: string, routed: RoutedRequest, signal: AbortSignal): Promise<RequestResult> {
		const peer = this.#getPeer(peerOrigin);
		const watch = this.#watchConnecting(peerOrigin, peer);
		const expired = new AbortController();
		const linked = createLinkedSignal([signal, expired.signal]);
		const timer = this.#clock.startTimer(routed.remainingMs, () => {
			expired.abort();
		});
		try {
			const response = await exchangeForward(peer.sessions, encodeRequest(routed), linked.signal);
			return decodeResult(routed.requestId, response);
		} catch (error) {
			return watch.hasTimedOut() || isConnectError(error)
				? createNotRunFailure(routed.requestId, 'peer-unreachable', 'the owner\'s node accepted no connection')
				: createOutcomeUnknownFailure(routed.requestId, 'peer-unreachable', `the owner's node did not answer: ${String(error)}`);
		} finally {
			timer.close();
			linked.close();
			watch.close();
		}
	}

	/** Queries the node at the origin for the outcome of a request. Returns undefined if the node could not be reached. */
	async findOutcome(peerOrigin: string, query: OutcomeQuery, signal: AbortSignal): Promise<OutcomeReport | undefined> {
		const peer = this.#getPeer(peerOrigin);
		const watch = this.#watchConnecting(peerOrigin, peer);
		try {
			return decodeOutcomeReport(query.requestId, await peer.client.findOutcome(encodeOutcomeQuery(query), {signal}));
		} catch {
			return undefined;
		} finally {
			watch.close();
		}
	}

	/** Closes the connection to a node, so that the next call opens a new one. */
	replaceConnection(peerOrigin: string): void {
		const peer = this.#peers.get(peerOrigin);
		this.#peers.delete(peerOrigin);
		peer?.sessions.abort();
	}

	async close(): Promise<void> {
		for (const peerOrigin of this.#peers.keys()) {
			this.replaceConnection(peerOrigin);
		}
	}

	/** Closes a connection that does not open in time. No request was sent over it. */
	#watchConnecting(peerOrigin: string, peer: Peer): {hasTimedOut(): boolean; close(): void} {
		let hasTimedOut = false;
		const isOpen = peer.sessions.state() === 'open' || peer.sessions.state() === 'idle';
		const timer = isOpen
			? undefined
			: this.#clock.startTimer(connectTimeoutMs, () => {
				if (peer.sessions.state() === 'connecting') {
					hasTimedOut = true;
					this.replaceConnection(peerOrigin);
				}
			});
		return {
			hasTimedOut: () => hasTimedOut,
			close() {
				timer?.close();
			},
		};
	}

	#getPeer(peerOrigin: string): Peer {
		const known = this.#peers.get(peerOrigin);
		if (known !== undefined) {
			return known;
		}

		const sessions = new PeerSessions(peerOrigin, {pingIntervalMs, pingTimeoutMs, idleConnectionTimeoutMs: idleTimeoutMs});
		const client = createClient(PeerService, createConnectTransport({baseUrl: peerOrigin, httpVersion: '2', sessionManager: sessions}));
		const peer = {client, sessions};
		this.#peers.set(peerOrigin, peer);
		return peer;
	}
}

function isConnectError(error: unknown): boolean {
	let cause = error;
	while (cause instanceof Error) {
		if ('code' in cause && connectErrorCodes.has(String(cause.code))) {
			return true;
		}

		cause = cause.cause;
	}

	return false;
}
