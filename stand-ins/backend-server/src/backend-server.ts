import type {AddressInfo} from 'node:net';
import {serve, type ServerType} from '@hono/node-server';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {Hono} from 'hono';
import {request} from 'undici';

const statusOverloaded = 503;

/** How the stand-in is set up. */
export type BackendServerOpts = Omit<BackendServer, 'origin' | 'leaving'> & {
	/** Origin of the node beside it, to which it announces itself. */
	readonly nodeOrigin: string;
	/** Time that a request takes, in milliseconds. */
	readonly serviceTimeMs: number;
	/** How often it repeats its announcement, in milliseconds. */
	readonly announceIntervalMs: number;
};

/** A backend server that answers with what it was asked, and counts how often each request ran. */
export class StandInBackendServer {
	readonly #clock: Clock;
	readonly #opts: BackendServerOpts;
	readonly #runs = new Map<string, number>();
	#running = 0;
	#server: ServerType | undefined;
	#closed = false;

	constructor(clock: Clock, opts: BackendServerOpts) {
		this.#clock = clock;
		this.#opts = opts;
	}

	/** Returns how often the request ran here. */
	countRuns(requestId: string): number {
		return this.#runs.get(requestId) ?? 0;
	}

	/** Starts to listen on loopback, and to announce itself. */
	async open(): Promise<void> {
		const app = this.#createApp();
		const port = await new Promise<number>(resolve => {
			this.#server = serve({fetch: app.fetch, hostname: '127.0.0.1', port: 0}, (info: AddressInfo) => {
				resolve(info.port);
			});
		});
		const announced = this.#announceRepeatedly(`http://127.0.0.1:${port}`);
		announced.catch(() => {
			// The next announcement tries again.
		});
	}

	/** Stops listening and announcing. */
	async close(): Promise<void> {
		this.#closed = true;
		const server = this.#server;
		await new Promise<void>(resolve => {
			server?.close(() => {
				resolve();
			});
			if (server !== undefined && 'closeAllConnections' in server) {
				server.closeAllConnections();
			}
		});
	}

	#createApp(): Hono {
		const app = new Hono();
		app.all('/*', async context => {
			if (this.#running >= this.#opts.slots) {
				return context.json({error: 'overloaded'}, statusOverloaded, {'buckthornpoint-refused': 'overloaded'});
			}

			const requestId = context.req.header('buckthornpoint-request-id') ?? '';
			this.#running++;
			this.#runs.set(requestId, this.countRuns(requestId) + 1);
			const body = await context.req.text();
			await this.#clock.sleep(this.#opts.serviceTimeMs);
			this.#running--;
			return context.json({server: this.#opts.name, path: context.req.path, body}, 200, {'buckthornpoint-request-id': requestId});
		});
		return app;
	}

	async #announceRepeatedly(origin: string): Promise<void> {
		while (!this.#closed) {
			await this.#announce(origin);
			await this.#clock.sleep(this.#opts.announceIntervalMs);
		}
	}

	async #announce(origin: string): Promise<void> {
		const {name, service, slots, checksFence, incarnation, nodeOrigin} = this.#opts;
		try {
			const response = await request(`${nodeOrigin}/v1/announcements`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					name, service, origin, slots, checksFence, incarnation, leaving: false,
				}),
			});
			await response.body.dump();
		} catch {
			// The node is not up yet; the next announcement tries again.
		}
	}
}
