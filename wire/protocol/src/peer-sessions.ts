import type {ClientHttp2Session, ClientHttp2Stream} from 'node:http2';
import {Http2SessionManager} from '@connectrpc/connect-node';

type RequestArguments = Parameters<Http2SessionManager['request']>;

/**
 * The connections to one node. The manager of the library stops listening to a connection that it has replaced, and a
 * probe of that connection that ends late then raises an error which nobody handles and which ends the process. This one
 * keeps a listener on every connection that has carried a request.
 */
export class PeerSessions extends Http2SessionManager {
	readonly #watched = new WeakSet<ClientHttp2Session>();

	/** Sends a request over the present connection, or over a new one. */
	override async request(...request: RequestArguments): Promise<ClientHttp2Stream> {
		const stream = await super.request(...request);
		const session = stream.session as ClientHttp2Session | undefined; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		if (session !== undefined && !this.#watched.has(session)) {
			this.#watched.add(session);
			session.on('error', () => {
				// The streams of the connection report its loss to those who wait for them.
			});
		}

		return stream;
	}
}
