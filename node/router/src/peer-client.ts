import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {OutcomeQuery, OutcomeReport} from '@buckthornpoint/guard/outcome-query.js';
import {PeerService} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import {
	createNotRun, createOutcomeUnknown, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import {createLinkedSignal} from '@buckthornpoint/tasks/linked-signal.js';
import {createClient, type Client} from '@connectrpc/connect';
import {PeerSessions} from '@buckthornpoint/protocol/peer-sessions.js';
import {createConnectTransport} from '@connectrpc/connect-node';
import {
	decodeReport, decodeResult, encodeQuestion, encodeRequest,
} from './peer-codec.js';
import {exchangeForward} from './forward-stream.js';

/** A connection that carries requests and no data for this long is probed. */
const pingIntervalMs = 250;
/** A connection whose probe is not answered in this time is closed. */
const pingTimeoutMs = 500;
const connectTimeoutMs = 400;
const idleTimeoutMs = 60_000;
/** Codes of errors that come before a connection is open. */
const unopenedCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** What routers and guards need of the way to other nodes. */
export type PeerLink = Pick<PeerClient, 'findOutcome' | 'forward'>;

type Peer = {
	readonly client: Client<typeof PeerService>;
	readonly sessions: PeerSessions;
};

/** Calls other nodes. Keeps one connection to each, and replaces it when it goes silent. */
export class PeerClient {
	readonly #clock: Clock;
	readonly #peers = new Map<string, Peer>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Hands a request to the node at the origin. A failure says `not-run` only if the request can't have left this node. */
	async forward(peerOrigin: string, routed: RoutedRequest, signal: AbortSignal): Promise<RequestResult> {
		const peer = this.#getPeer(peerOrigin);
		const watch = this.#watchConnecting(peerOrigin, peer);
		const overdue = new AbortController();
		const linked = createLinkedSignal([signal, overdue.signal]);
		const timer = this.#clock.startTimer(routed.remainingMs, () => {
			overdue.abort();
		});
		try {
			const response = await exchangeForward(peer.sessions, encodeRequest(routed), linked.signal);
			return decodeResult(routed.requestId, response);
		} catch (error) {
			return watch.hasTimedOut() || isUnopened(error)
				? createNotRun(routed.requestId, 'peer-unreachable', 'the owner\'s node accepted no connection')
				: createOutcomeUnknown(routed.requestId, 'peer-unreachable', `the owner's node did not answer: ${String(error)}`);
		} finally {
			timer.close();
			linked.close();
			watch.close();
		}
	}

	/** Asks the node at the origin what became of a request; undefined when it could not be reached. */
	async findOutcome(peerOrigin: string, question: OutcomeQuery, signal: AbortSignal): Promise<OutcomeReport | undefined> {
		const peer = this.#getPeer(peerOrigin);
		const watch = this.#watchConnecting(peerOrigin, peer);
		try {
			return decodeReport(question.requestId, await peer.client.findOutcome(encodeQuestion(question), {signal}));
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

	/** Closes all connections. */
	async close(): Promise<void> {
		for (const peerOrigin of this.#peers.keys()) {
			this.replaceConnection(peerOrigin);
		}
	}

	/** Gives up a connection that does not open in time. Nothing was sent over it. */
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

function isUnopened(error: unknown): boolean {
	let cause = error;
	while (cause instanceof Error) {
		if ('code' in cause && unopenedCodes.has(String(cause.code))) {
			return true;
		}

		cause = cause.cause;
	}

	return false;
}
