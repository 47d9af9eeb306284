import type {AddressInfo} from 'node:net';
import {serve, type ServerType} from '@hono/node-server';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {DeadlineSignal} from '@buckthornpoint/clock/deadline-signal.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';
import type {BackendServerFaults} from './faults.js';
import type {BackendServerCounts} from './run-counter.js';
import {createServerApi} from './server-api.js';
import type {ColdStartOpts} from './cold-start-model.js';
import {Worker} from './worker.js';

const defaultSeed = 1;
const announceTimeoutMs = 1000;

/** Options of the stand-in. */
export type BackendServerOpts = Omit<BackendServer, 'origin' | 'leaving'> & {
	/** Origin of the local node, to which the backend server announces itself. */
	readonly nodeOrigin: string;
	/** Time that a request takes without injected faults. */
	readonly serviceTimeMs: number;
	/** Interval between announcements. */
	readonly announceIntervalMs: number;
	/** If absent, the server runs at full speed from its start. */
	readonly coldStart?: ColdStartOpts;
	/** Source of randomness for the injected faults. */
	readonly random?: RandomSource;
	/** Port to listen on; any free port by default. */
	readonly port?: number;
};

/** A backend server that echoes requests, counts how often each request was executed, and injects faults. */
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

	/** Origin of the HTTP interface; empty until the server is open. */
	get origin(): string {
		return this.#origin;
	}

	/** Request counters since the stand-in was created. */
	get counts(): BackendServerCounts {
		return this.#worker.counts;
	}

	/** Returns how often the request was executed by this server. */
	countRuns(requestId: string): number {
		return this.#worker.runs.countRuns(requestId);
	}

	/** Returns the number of executions of each request, by request id. */
	listRuns(): ReadonlyMap<string, number> {
		return this.#worker.runs.listRuns();
	}

	/** Updates the injected faults; a change of `leaving` is announced immediately. */
	async setFaults(faults: Partial<BackendServerFaults>): Promise<void> {
		this.#worker.setFaults(faults);
		if (faults.leaving !== undefined) {
			await this.#announce();
		}
	}

	/** Makes the server as cold as after its start, without an announcement. */
	setCold(): void {
		this.#worker.setCold();
	}

	/** Simulates a restart of the process: a new incarnation, cold, connections closed, fences cleared. Request counters are kept. */
	async replaceProcess(): Promise<void> {
		this.#restarts++;
		this.#incarnation = `${this.#opts.incarnation}/${this.#restarts}`;
		this.#worker.replaceProcess();
		if (this.#server !== undefined && 'closeAllConnections' in this.#server) {
			this.#server.closeAllConnections();
		}

		await this.#announce();
	}

	/** Starts to listen on loopback and to announce itself to the local node. */
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
		const announcing = this.#announceRepeatedly();
		announcing.catch(() => {
			// A failed announcement is retried at the next interval; nothing else in the loop can fail.
		});
	}

	/** Stops announcing and listening, and closes all connections. */
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
		const deadline = new DeadlineSignal(this.#clock, announceTimeoutMs, this.#closed.signal);
		try {
			const response = await sendRequest(`${nodeOrigin}/v1/announcements`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					name, service, origin: this.#origin, slots, checksFence, incarnation: this.#incarnation, leaving: this.#worker.faults.leaving,
				}),
				signal: deadline.signal,
			});
			await response.body.dump();
		} catch {
			// The node is not reachable yet, or this server is closing; the next announcement is the retry.
		} finally {
			deadline.close();
		}
	}
}
