import type {AddressInfo} from 'node:net';
import {serve, type ServerType} from '@hono/node-server';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {request} from 'undici';
import type {BackendServerFaults} from './faults.js';
import type {BackendServerCounts} from './run-log.js';
import {createServerApi} from './server-api.js';
import type {ColdStartOpts} from './warmth.js';
import {Worker} from './worker.js';

const defaultSeed = 1;
const announceTimeoutMs = 1000;

/** How the stand-in is set up. */
export type BackendServerOpts = Omit<BackendServer, 'origin' | 'leaving'> & {
	/** Origin of the node beside it, to which it announces itself. */
	readonly nodeOrigin: string;
	/** Time that a request takes, in milliseconds. */
	readonly serviceTimeMs: number;
	/** How often it repeats its announcement, in milliseconds. */
	readonly announceIntervalMs: number;
	/** Absent: it is as fast at its start as later. */
	readonly coldStart?: ColdStartOpts;
	/** Source of chance of the faults. */
	readonly random?: RandomSource;
	/** Port to listen on; any free one by default. */
	readonly port?: number;
};

/** A backend server that answers with what it was asked, counts how often each request ran, and fails on request. */
export class StandInBackendServer {
	readonly #clock: Clock;
	readonly #opts: BackendServerOpts;
	readonly #worker: Worker;
	#incarnation: string;
	#restarts = 0;
	#origin = '';
	#server: ServerType | undefined;
	readonly #closed = new AbortController();

	constructor(clock: Clock, opts: BackendServerOpts) {
		this.#clock = clock;
		this.#opts = opts;
		this.#incarnation = opts.incarnation;
		this.#worker = new Worker(clock, opts.random ?? new SeededRandom(defaultSeed), opts);
	}

	/** Origin of its HTTP interface; empty before it is open. */
	get origin(): string {
		return this.#origin;
	}

	/** What it counted since it was created. */
	get counts(): BackendServerCounts {
		return this.#worker.counts;
	}

	/** Returns how often the request ran here. */
	countRuns(requestId: string): number {
		return this.#worker.runs.countRuns(requestId);
	}

	/** Returns the runs of all requests, by request id. */
	listRuns(): ReadonlyMap<string, number> {
		return this.#worker.runs.listRuns();
	}

	/** Changes some of the faults. */
	async setFaults(faults: Partial<BackendServerFaults>): Promise<void> {
		this.#worker.setFaults(faults);
		if (faults.leaving !== undefined) {
			await this.#announce();
		}
	}

	/** Makes it as cold as at its start, without telling anybody. */
	setCold(): void {
		this.#worker.setCold();
	}

	/** Plays a restart of its process: a new incarnation, cold, all connections cut, fences forgotten. The counts stay. */
	async replaceProcess(): Promise<void> {
		this.#restarts++;
		this.#incarnation = `${this.#opts.incarnation}/${this.#restarts}`;
		this.#worker.replaceProcess();
		if (this.#server !== undefined && 'closeAllConnections' in this.#server) {
			this.#server.closeAllConnections();
		}

		await this.#announce();
	}

	/** Starts to listen on loopback, and to announce itself. */
	async open(): Promise<void> {
		const app = createServerApi({
			name: this.#opts.name,
			worker: this.#worker,
			clock: this.#clock,
			setFaults: async faults => this.setFaults(faults),
			replaceProcess: async () => this.replaceProcess(),
		});
		const port = await new Promise<number>(resolve => {
			this.#server = serve({fetch: app.fetch, hostname: '127.0.0.1', port: this.#opts.port ?? 0}, (info: AddressInfo) => {
				resolve(info.port);
			});
		});
		this.#origin = `http://127.0.0.1:${port}`;
		const announced = this.#announceRepeatedly();
		announced.catch(() => {
			// An announcement that fails is repeated; nothing else can fail here.
		});
	}

	/** Stops listening and announcing. */
	async close(): Promise<void> {
		this.#closed.abort();
		const server = this.#server;
		this.#server = undefined;
		if (server === undefined) {
			return;
		}

		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
			if ('closeAllConnections' in server) {
				server.closeAllConnections();
			}
		});
	}

	async #announceRepeatedly(): Promise<void> {
		while (!this.#closed.signal.aborted) {
			if (!this.#worker.faults.frozen) {
				await this.#announce();
			}

			await this.#clock.sleep(this.#opts.announceIntervalMs, this.#closed.signal);
		}
	}

	async #announce(): Promise<void> {
		const {name, service, slots, checksFence, nodeOrigin} = this.#opts;
		try {
			const response = await request(`${nodeOrigin}/v1/announcements`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					name, service, origin: this.#origin, slots, checksFence, incarnation: this.#incarnation, leaving: this.#worker.faults.leaving,
				}),
				signal: AbortSignal.any([this.#closed.signal, AbortSignal.timeout(announceTimeoutMs)]),
			});
			await response.body.dump();
		} catch {
			// The node is not up yet, or this server is closing; the next announcement tries again.
		}
	}
}
