import {createServer as createHttp2Server, type Http2Server} from 'node:http2';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {ConnectRouter} from '@connectrpc/connect';
import {createAdaptorServer} from '@hono/node-server';
import type {ListenAddress} from '@buckthornpoint/settings/settings.js';
import type {Hono} from 'hono';

/** A server that listens. */
export type ListeningServer = {
	/** Port that it listens on; differs from the settings' when those said 0. */
	readonly port: number;
	/** Stops accepting connections and closes those that are idle or, after the grace, all of them. */
	close(): Promise<void>;
};

/** Serves a hono application over HTTP/1.1. */
export async function listenForHttp(app: Hono, address: ListenAddress): Promise<ListeningServer> {
	const server = createAdaptorServer({fetch: app.fetch}) as Server; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const port = await listen(server, address);
	return {
		port,
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
	};
}

/** A server for calls between nodes. It is bound before the parts exist that answer the calls. */
export type PeerServer = ListeningServer & {
	/** Begins to answer calls. */
	serve(routes: (router: ConnectRouter) => void): void;
};

/** Binds the interface between nodes, HTTP/2 without encryption. */
export async function listenForPeers(address: ListenAddress): Promise<PeerServer> {
	const server = createHttp2Server();
	const sessions = new Set<{destroy: () => void; once: (event: 'close', listener: () => void) => unknown}>();
	server.on('session', session => {
		sessions.add(session);
		session.once('close', () => {
			sessions.delete(session);
		});
	});
	const port = await listen(server, address);
	return {
		port,
		serve(routes) {
			server.on('request', connectNodeAdapter({routes}));
		},
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				for (const session of sessions) {
					session.destroy();
				}
			});
		},
	};
}

async function listen(server: Server | Http2Server, address: ListenAddress): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			resolve((server.address() as AddressInfo).port); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		});
	});
}
