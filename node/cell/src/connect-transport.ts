import {createClient, type Client} from '@connectrpc/connect';
import {PeerSessions} from '@buckthornpoint/protocol/peer-sessions.js';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {BuckthornpointError, toBuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import {decodeControlMessage, encodeControlMessage} from '@buckthornpoint/protocol/control-message.js';
import {PeerService, type CellMessage} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {PeerTransport, type IncomingMessage, type OutgoingMessage} from './peer-transport.js';

/** Dependencies and settings of a `ConnectTransport`. */
export type ConnectTransportOpts = {
	readonly clock: Clock;
	readonly metrics: Metrics;
	/** Time without an answer after which later calls use a new connection. */
	readonly silenceTimeoutMs: number;
	/** Time after which a call fails. */
	readonly callTimeoutMs: number;
};

/** One connection to a peer. A retired connection accepts no new calls and is closed after its last pending call. */
type PeerConnection = {
	readonly client: Client<typeof PeerService>;
	readonly sessions: PeerSessions;
	pendingCalls: number;
	retired: boolean;
};

/** Delivers messages with the Deliver call over HTTP/2. Keeps one connection to each peer and replaces it when it stops answering. */
export class ConnectTransport extends PeerTransport {
	readonly #connections = new Map<string, PeerConnection>();
	readonly #openConnections = new Set<PeerConnection>();
	readonly #opts: ConnectTransportOpts;

	constructor(opts: ConnectTransportOpts) {
		super();
		this.#opts = opts;
	}

	override deliver(message: OutgoingMessage): ResultAsync<readonly IncomingMessage[], BuckthornpointError> {
		return ResultAsync
			.fromPromise(this.#call(message), thrown => toBuckthornpointError(thrown, 'ERR_PEER_UNREACHABLE'))
			.andThen(messages => decodeAnswers(messages));
	}

	override async close(): Promise<void> {
		for (const connection of this.#openConnections) {
			connection.sessions.abort();
		}

		this.#openConnections.clear();
		this.#connections.clear();
	}

	async #call({from, to, peerOrigin, message}: OutgoingMessage): Promise<readonly CellMessage[]> {
		const connection = this.#getConnection(peerOrigin);
		const silenceTimer = this.#opts.clock.startTimer(this.#opts.silenceTimeoutMs, () => {
			this.#replace(peerOrigin, connection);
		});
		connection.pendingCalls++;
		try {
			const payload = encodeControlMessage({toIncarnation: to?.incarnation, message});
			this.#opts.metrics.addCount('cell.bytes-sent', payload.length, {operation: message.kind});
			const response = await connection.client.deliver(
				{fromVmId: from.vmId, fromIncarnation: from.incarnation, message: {payload}},
				{timeoutMs: this.#opts.callTimeoutMs},
			);
			return response.messages;
		} catch (error) {
			this.#replace(peerOrigin, connection);
			throw error;
		} finally {
			silenceTimer.close();
			connection.pendingCalls--;
			this.#closeIfUnused(connection);
		}
	}

	#getConnection(peerOrigin: string): PeerConnection {
		const known = this.#connections.get(peerOrigin);
		if (known !== undefined) {
			return known;
		}

		const sessions = new PeerSessions(peerOrigin);
		const client = createClient(PeerService, createConnectTransport({
			baseUrl: peerOrigin, httpVersion: '2', sessionManager: sessions, acceptCompression: [],
		}));
		const connection: PeerConnection = {
			client, sessions, pendingCalls: 0, retired: false,
		};
		this.#connections.set(peerOrigin, connection);
		this.#openConnections.add(connection);
		return connection;
	}

	#replace(peerOrigin: string, connection: PeerConnection): void {
		connection.retired = true;
		if (this.#connections.get(peerOrigin) === connection) {
			this.#connections.delete(peerOrigin);
		}
	}

	#closeIfUnused(connection: PeerConnection): void {
		if (connection.retired && connection.pendingCalls === 0) {
			connection.sessions.abort();
			this.#openConnections.delete(connection);
		}
	}
}

function decodeAnswers(messages: readonly CellMessage[]): Result<readonly IncomingMessage[], BuckthornpointError> {
	const answers: IncomingMessage[] = [];
	for (const {payload} of messages) {
		const decoded = decodeControlMessage(payload);
		if (decoded.isErr()) {
			return err(decoded.error);
		}

		const {from, message} = decoded.value;
		if (from === undefined) {
			return err(new BuckthornpointError('ERR_DOCUMENT_VALUE', 'the answer does not contain its sender'));
		}

		answers.push({from, message});
	}

	return ok(answers);
}
