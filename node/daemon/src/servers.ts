import {createServer as createHttp2Server, type Http2Server, type ServerHttp2Session} from 'node:http2';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {ConnectRouter} from '@connectrpc/connect';
import {createAdaptorServer} from '@hono/node-server';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {ListenAddress} from '@buckthornpoint/settings/settings.js';
import type {Hono} from 'hono';

const idleCheckMs = 25;

/** A server that listens. */
export type ListeningServer = {
	/** Port that it listens on; differs from the settings' when those said 0. */
	readonly port: number;
	/** Accepts no more connections, and waits until those that are open have finished, at most for the grace. */
	drain(clock: Clock, graceMs: number): Promise<void>;
	/** Stops accepting connections and closes all that are open. */
	close(): Promise<void>;
};

/** Serves a hono application over HTTP/1.1. */
export async function listenForHttp(app: Hono, address: ListenAddress): Promise<ListeningServer> {
	const server = createAdaptorServer({fetch: app.fetch}) as Server; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const port = await listen(server, address);
	const finished = waitForClose(server);
	return {
		port,
		async drain(clock, graceMs) {
			server.close();
			await Promise.race([finished, closeIdleConnections(server, clock, graceMs)]);
		},
		async close() {
			server.close();
			server.closeAllConnections();
			await finished;
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
	const sessions = new Set<ServerHttp2Session>();
	server.on('session', session => {
		sessions.add(session);
		session.once('close', () => {
			sessions.delete(session);
		});
	});
	const port = await listen(server, address);
	const finished = waitForClose(server);
	return {
		port,
		serve(routes) {
			server.on('request', connectNodeAdapter({routes}));
		},
		async drain(clock, graceMs) {
			server.close();
			for (const session of sessions) {
				session.close();
			}

			await Promise.race([finished, clock.sleep(graceMs)]);
		},
		async close() {
			server.close();
			for (const session of sessions) {
				session.destroy();
			}

			await finished;
		},
	};
}

/** Closes connections as they fall idle, until the grace is over. */
async function closeIdleConnections(server: Server, clock: Clock, graceMs: number): Promise<void> {
	for (let waitedMs = 0; waitedMs < graceMs; waitedMs += idleCheckMs) {
		server.closeIdleConnections();
		await clock.sleep(idleCheckMs);
	}
}

async function waitForClose(server: Server | Http2Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.once('close', resolve);
	});
}

async function listen(server: Server | Http2Server, address: ListenAddress): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			resolve((server.address() as AddressInfo).port); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		});
	});
}
