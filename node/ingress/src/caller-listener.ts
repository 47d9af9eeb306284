import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RouteTable} from '@buckthornpoint/routes/routes.js';
import {ArrivalClock} from './arrival-clock.js';
import type {CallerConnections} from './caller-connections.js';
import {ConnectionIntake} from './connection-intake.js';
import {handleClientError} from './parser-errors.js';

/** Dependencies of a `CallerListener`. */
export type CallerListenerOpts = {
	readonly clock: Clock;
	readonly connections: CallerConnections;
	readonly onRequest: (incoming: IncomingMessage, response: ServerResponse) => void;
	/** Called when no connection waits any more that was accepted and not served. */
	readonly onNoneWaiting: () => void;
	/** Called with errors of the listening socket. */
	readonly onError?: (error: Error) => void;
};

/** Connections that may wait until the process accepts them. Beyond it, the system drops them and callers try again only after a second. */
const acceptQueueLength = 4096;

/** Idle timeout of connections until the operator's limits are known; the usual limit of the deployments. */
const defaultIdleTimeoutMs = 15_000;

/** Added to the operator's idle timeout: a request may be in transit when it expires. */
const idleTimeoutMarginMs = 2000;

/** Interval of the checks for incomplete request heads; the operator's limits are some seconds. */
const headCheckIntervalMs = 1000;

/** Limit of the HTTP parser for request headers. The operator's limit is checked in addition once it is known. */
const maxHeaderBytes = 64 * 1024;

/** Accepts the connections of callers and reads their requests. */
export class CallerListener {
	readonly #opts: CallerListenerOpts;
	readonly #server: Server;
	readonly #arrivals: ArrivalClock;
	readonly #intake: ConnectionIntake;

	constructor(opts: CallerListenerOpts) {
		const {clock, connections, onRequest, onNoneWaiting} = opts;
		this.#opts = opts;
		this.#server = createServer({
			keepAliveTimeout: defaultIdleTimeoutMs + idleTimeoutMarginMs,
			headersTimeout: defaultIdleTimeoutMs + idleTimeoutMarginMs,
			connectionsCheckingInterval: headCheckIntervalMs,
			requestTimeout: 0,
			maxHeaderSize: maxHeaderBytes,
			noDelay: true,
		}, onRequest);
		this.#server.on('connection', socket => {
			connections.add(socket);
		});
		this.#server.on('clientError', (error, socket) => {
			handleClientError(error, socket, connections);
		});
		this.#arrivals = new ArrivalClock(clock);
		this.#intake = new ConnectionIntake({
			clock, arrivals: this.#arrivals, isFull: waitingCount => connections.isFull(waitingCount), onEmpty: onNoneWaiting,
		});
		this.#intake.replaceListeners(this.#server);
	}

	/** Number of connections that were accepted since the start. */
	get acceptedCount(): number {
		return this.#intake.acceptedCount;
	}

	/** Number of connections that were closed, in favour of others, before anything was read from them. */
	get closedUnreadCount(): number {
		return this.#intake.closedCount;
	}

	/** Number of connections that were accepted and not served yet. */
	get waitingCount(): number {
		return this.#intake.size;
	}

	async listen(host: string, port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({port, host, backlog: acceptQueueLength}, resolve);
		});
		this.#server.on('error', error => this.#opts.onError?.(error));
	}

	/** The port in use; 0 while the server doesn't listen. */
	getPort(): number {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	}

	/** Returns the earliest time at which the request that is read now may have arrived, or now if that is a short time ago. */
	estimateArrivalMs(socket: Socket): number {
		return this.#intake.estimateArrivalMs(socket);
	}

	/** Applies the operator's limits of the time for a head and between requests. */
	applyLimits({headerTimeoutMs, idleTimeoutMs}: RouteTable['limits']): void {
		this.#server.headersTimeout = Math.max(headerTimeoutMs, idleTimeoutMs + idleTimeoutMarginMs);
		this.#server.keepAliveTimeout = idleTimeoutMs + idleTimeoutMarginMs;
	}

	/** Stops listening and closes idle connections. */
	stop(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	close(): void {
		this.#arrivals.close();
		this.#intake.close();
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
