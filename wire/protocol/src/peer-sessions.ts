import type {ClientHttp2Session, ClientHttp2Stream} from 'node:http2';
import {Http2SessionManager} from '@connectrpc/connect-node';

type RequestArguments = Parameters<Http2SessionManager['request']>;

/**
 * The HTTP/2 sessions to one node. `Http2SessionManager` removes its listeners from a session that it has replaced. If a
 * ping on that session fails afterwards, its `error` event is unhandled and ends the process. This class therefore keeps
 * an `error` listener on every session that has carried a request.
 */
export class PeerSessions extends Http2SessionManager {
	readonly #withErrorListener = new WeakSet<ClientHttp2Session>();

	/** Sends a request over the current session, or over a new one. */
	override async request(...requestArguments: RequestArguments): Promise<ClientHttp2Stream> {
		const stream = await super.request(...requestArguments);
		const session = stream.session as ClientHttp2Session | undefined; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		if (session !== undefined && !this.#withErrorListener.has(session)) {
			this.#withErrorListener.add(session);
			session.on('error', () => {
				// Nothing to do: each stream of the session reports the loss to its own caller.
			});
		}

		return stream;
	}
}
