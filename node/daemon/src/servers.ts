import {createServer as createHttp2Server, type Http2Server, type ServerHttp2Session} from 'node:http2';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createAdaptorServer} from '@hono/node-server';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {PeerRequestHandler} from '@buckthornpoint/router/forward-handler.js';
import type {ListenAddress} from '@buckthornpoint/settings/settings.js';
import type {Hono} from 'hono';

const idleCheckIntervalMs = 25;

/** A listening server. */
export type ListeningServer = {
	/** Actual port; differs from the port in the settings if that is 0. */
	readonly port: number;
	/** Stops accepting connections and waits until the open ones have finished, at most for `graceMs`. */
	drain(clock: Clock, graceMs: number): Promise<void>;
	/** Stops accepting connections and closes the open ones. */
	close(): Promise<void>;
};

/** Serves a Hono application over HTTP/1.1. */
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

/** A server for calls between nodes. Its port is bound before the components that handle the calls are created, because they need the port number. */
export type PeerServer = ListeningServer & {
	/** Starts answering calls. */
	serve(handler: PeerRequestHandler): void;
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
		serve(handler) {
			server.on('request', handler);
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

/** Closes connections when they become idle, for up to `graceMs`. */
async function closeIdleConnections(server: Server, clock: Clock, graceMs: number): Promise<void> {
	for (let waitedMs = 0; waitedMs < graceMs; waitedMs += idleCheckIntervalMs) {
		server.closeIdleConnections();
		await clock.sleep(idleCheckIntervalMs);
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
