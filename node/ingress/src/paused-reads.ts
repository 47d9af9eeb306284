import type {Duplex} from 'node:stream';
import {setImmediate} from 'node:timers';

/**
 * Pauses reading from connections for a turn of the event loop. What the HTTP server holds for a connection that was closed is
 * released only at the end of the turn. After a stall of the process, many connections are readable in one turn: with thousands of
 * small requests on each, these would take all memory before any of it is released.
 */
export class PausedReads {
	/** Undefined while no connection is paused. */
	#paused: Duplex[] | undefined;

	/** Pauses the connections until the connections that were closed in this turn are released. */
	stop(sockets: Iterable<Duplex>): void {
		if (this.#paused !== undefined) {
			return;
		}

		this.#paused = [];
		for (const socket of sockets) {
			this.#stopOne(socket);
		}

		// Closed connections are released after the first of these callbacks and before the second.
		setImmediate(() => {
			setImmediate(() => {
				this.#start();
			});
		});
	}

	/** Pauses a new connection as well if others are paused. */
	add(socket: Duplex): void {
		if (this.#paused !== undefined) {
			this.#stopOne(socket);
		}
	}

	#stopOne(socket: Duplex): void {
		if (!socket.isPaused()) {
			this.#paused?.push(socket);
			socket.pause();
		}
	}

	#start(): void {
		const paused = this.#paused ?? [];
		this.#paused = undefined;
		for (const socket of paused) {
			if (!socket.destroyed) {
				socket.resume();
			}
		}
	}
}
