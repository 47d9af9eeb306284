import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {ArrivalClock} from './arrival-clock.js';
import {TurnQueue} from './turn-queue.js';

/** Time in each turn of the event loop for new connections. Most of the work follows later, when their requests are read. */
const maxMsPerTurn = 2;

/** Longest time in which connections are only accepted. The system gives the process one of them in each turn of the event loop. */
const maxAcceptingMs = 20;

/** Connections that are accepted in turns without a pause were opened before the first of these, but this long before at most. */
const maxAcceptWaitMs = 250;

/** A request that has waited for less than this counts as new: most do. */
const minWaitedMs = 50;

type NewConnection = {readonly openedMs: number; readonly servedMs: number};

/** Dependencies of a `ConnectionIntake`. */
export type ConnectionIntakeOpts = {
	readonly clock: Clock;
	readonly arrivals: Pick<ArrivalClock, 'estimateEarliestMs'>;
	/** Whether a further connection would be one too many. */
	readonly isFull: (waitingCount: number) => boolean;
	/** Called when no new connection waits any more. */
	readonly onEmpty: () => void;
};

/**
 * Accepts the connections of a burst before it serves them: as only one is accepted in each turn of the event loop, they would wait for
 * as long as the requests of all connections before them take, and their callers would have left. The newest is served first, as its
 * caller most likely still waits. Nothing is read from a connection before it is passed on to the HTTP server.
 */
export class ConnectionIntake {
	readonly #opts: ConnectionIntakeOpts;
	readonly #queue: TurnQueue;
	readonly #waiting = new Set<Socket>();
	/** Connections on which no request was read yet. */
	readonly #unread = new WeakMap<Socket, NewConnection>();
	/** Whether a connection was accepted in the present turn, and in the one before. */
	#isAccepting = false;
	#wasAccepting = false;
	#isTurnWatched = false;
	/** When the turns began in each of which a connection was accepted. */
	#acceptingSinceMs = 0;
	#lastServedMs = Number.NEGATIVE_INFINITY;
	#acceptedCount = 0;
	#closedCount = 0;

	constructor(opts: ConnectionIntakeOpts) {
		this.#opts = opts;
		this.#queue = new TurnQueue({
			clock: opts.clock, maxMsPerTurn, isNewestFirst: true, isHeldBack: () => this.#wasAccepting && this.#readNowMs() - this.#lastServedMs < maxAcceptingMs, onEmpty: opts.onEmpty,
		});
	}

	/** Number of connections that were accepted. */
	get acceptedCount(): number {
		return this.#acceptedCount;
	}

	/** Number of connections that were closed, in favour of others, before anything was read from them. */
	get closedCount(): number {
		return this.#closedCount;
	}

	/** Number of connections that wait. */
	get size(): number {
		return this.#waiting.size;
	}

	/** Takes the place of the server's own handlers of new connections, and calls them later. */
	replaceListeners(server: Server): void {
		const listeners = server.listeners('connection');
		server.removeAllListeners('connection');
		// An option of the TCP server that the HTTP server does not pass on.
		Object.assign(server, {pauseOnConnect: true});
		server.on('connection', (socket: Socket) => {
			this.#add(socket, () => {
				for (const listener of listeners) {
					listener.call(server, socket);
				}

				socket.resume();
			});
		});
	}

	/** Returns the earliest time at which the request that is read now on the connection may have arrived, or now if that is a short time ago. */
	estimateArrivalMs(socket: Socket): number {
		const nowMs = this.#readNowMs();
		const earliestMs = this.#opts.arrivals.estimateEarliestMs();
		const opened = this.#unread.get(socket);
		this.#unread.delete(socket);
		// What is read in the first turn after the connection was passed on may have arrived before.
		const arrivedMs = opened !== undefined && opened.servedMs >= earliestMs ? Math.min(opened.openedMs, earliestMs) : earliestMs;
		return nowMs - arrivedMs < minWaitedMs ? nowMs : arrivedMs;
	}

	/** Closes the connections that wait. */
	close(): void {
		this.#queue.close();
		for (const socket of this.#waiting) {
			socket.destroy();
		}
	}

	#add(socket: Socket, serve: () => void): void {
		this.#acceptedCount++;
		const openedMs = this.#estimateOpenedMs();
		const serveOpened = (): void => {
			this.#lastServedMs = this.#readNowMs();
			this.#unread.set(socket, {openedMs, servedMs: this.#lastServedMs});
			try {
				serve();
			} catch (error) {
				socket.destroy();
				throw error;
			}
		};

		this.#isAccepting = true;
		this.#watchTurn();

		if (this.#opts.isFull(this.#waiting.size)) {
			this.#closeOldest();
		}

		this.#waiting.add(socket);
		this.#queue.add(() => {
			this.#waiting.delete(socket);
			if (!socket.destroyed) {
				serveOpened();
			}
		});
	}

	/** Closes the connection that waits for longest. Nothing of it was read, so its caller knows that its request has not run. */
	#closeOldest(): void {
		const [oldest] = this.#waiting;
		if (oldest !== undefined) {
			this.#waiting.delete(oldest);
			this.#queue.removeOldest();
			this.#closedCount++;
			oldest.destroy();
		}
	}

	#estimateOpenedMs(): number {
		const earliestMs = this.#opts.arrivals.estimateEarliestMs();
		if (!this.#wasAccepting) {
			this.#acceptingSinceMs = earliestMs;
		}

		return Math.max(this.#acceptingSinceMs, earliestMs - maxAcceptWaitMs);
	}

	#watchTurn(): void {
		if (this.#isTurnWatched) {
			return;
		}

		this.#isTurnWatched = true;
		setImmediate(() => {
			this.#isTurnWatched = false;
			this.#wasAccepting = this.#isAccepting;
			this.#isAccepting = false;
			if (this.#wasAccepting) {
				this.#watchTurn();
			}
		});
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
