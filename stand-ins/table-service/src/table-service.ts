import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {serve, type ServerType} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Transaction} from '@buckthornpoint/table-store/table-store.js';
import {Hono} from 'hono';
import {decodeFaults, noFaults, type StoreFaults} from './faults.js';
import {RowTable} from './row-table.js';

const statusBadRequest = 400;
const statusConflict = 409;
const statusUnavailable = 503;
const msPerSecond = 1000;

type Bindings = {readonly outgoing: ServerResponse};
type StoreApp = Hono<{Bindings: Bindings}>;

/** Number of admitted requests since the stand-in was created. */
export type StoreUsage = {
	readonly reads: number;
	readonly writes: number;
};

/** An in-memory table service and object store with fault injection, for tests and demos. */
export class TableService {
	readonly #clock: Clock;
	readonly #table = new RowTable();
	readonly #objects = new Map<string, Uint8Array>();
	#faults: StoreFaults = noFaults;
	#usage: StoreUsage = {reads: 0, writes: 0};
	#currentSecond = {startMs: 0, reads: 0, writes: 0};
	#server: ServerType | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of admitted requests since the service was created. */
	get usage(): StoreUsage {
		return this.#usage;
	}

	/** Starts to listen on loopback and returns the origin. Port 0 selects any free port. */
	async open(port = 0): Promise<string> {
		const app = this.#createApp();
		const bound = await new Promise<number>(resolve => {
			this.#server = serve({fetch: app.fetch, hostname: '127.0.0.1', port}, (info: AddressInfo) => {
				resolve(info.port);
			});
		});
		return `http://127.0.0.1:${bound}`;
	}

	/** Updates the injected faults; faults that are not given keep their value. */
	setFaults(faults: Partial<StoreFaults>): void {
		this.#faults = {...this.#faults, ...faults};
	}

	/** Stops listening and closes all connections. */
	async close(): Promise<void> {
		const server = this.#server;
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

	#createApp(): StoreApp {
		const app: StoreApp = new Hono();
		app.put('/v1/faults', async context => {
			const decoded = decodeFaults(await context.req.json<unknown>());
			if (decoded.isLeft()) {
				return context.json({code: 'ERR_DOCUMENT_TYPE', message: decoded.extract()}, statusBadRequest);
			}

			this.setFaults(decoded.unsafeCoerce());
			return context.json(this.#faults);
		});
		app.get('/v1/use', context => context.json(this.#usage));
		app.use('/v1/*', async (context, next) => {
			if (this.#faults.delayMs > 0) {
				await this.#clock.sleep(this.#faults.delayMs);
			}

			const admitted = this.#admit(context.req.method === 'GET');
			if (!admitted) {
				return context.json({error: 'unavailable'}, statusUnavailable);
			}

			await next();
			return undefined;
		});
		this.#addRows(app);
		this.#addObjects(app);
		return app;
	}

	#addRows(app: StoreApp): void {
		app.get('/v1/rows', context => context.json({rows: this.#table.readRows(context.req.query('prefix') ?? '')}));
		app.get('/v1/rows/:key', context => {
			const row = this.#table.readRow(context.req.param('key'));
			return row === undefined ? context.json({error: 'no such row'}, 404) : context.json(row);
		});
		app.post('/v1/transactions', async context => {
			const committed = this.#table.commitTransaction(await context.req.json<Transaction>());
			if (this.#faults.loseAnswers > 0) {
				this.setFaults({loseAnswers: this.#faults.loseAnswers - 1});
				context.env.outgoing.destroy();
				return RESPONSE_ALREADY_SENT;
			}

			if (this.#faults.silenceAnswers > 0) {
				this.setFaults({silenceAnswers: this.#faults.silenceAnswers - 1});
				await new Promise(() => {
					// Never resolves: the answer is not sent.
				});
			}

			return committed ? context.json({}) : context.json({error: 'conflict'}, statusConflict);
		});
	}

	#addObjects(app: StoreApp): void {
		app.put('/v1/objects/:name', async context => {
			this.#objects.set(context.req.param('name'), new Uint8Array(await context.req.arrayBuffer()));
			return context.json({});
		});
		app.get('/v1/objects/:name', context => {
			const bytes = this.#objects.get(context.req.param('name'));
			return bytes === undefined ? context.json({error: 'no such object'}, 404) : context.body(Buffer.from(bytes));
		});
	}

	#admit(isRead: boolean): boolean {
		const now = this.#clock.readTimestamp().monotonicMs;
		if (now - this.#currentSecond.startMs >= msPerSecond) {
			this.#currentSecond = {startMs: now, reads: 0, writes: 0};
		}

		const limit = isRead ? this.#faults.maxReadsPerSecond : this.#faults.maxWritesPerSecond;
		const used = isRead ? this.#currentSecond.reads : this.#currentSecond.writes;
		if (this.#faults.down || used >= limit) {
			return false;
		}

		this.#currentSecond = isRead ? {...this.#currentSecond, reads: used + 1} : {...this.#currentSecond, writes: used + 1};
		this.#usage = isRead ? {...this.#usage, reads: this.#usage.reads + 1} : {...this.#usage, writes: this.#usage.writes + 1};
		return true;
	}
}
