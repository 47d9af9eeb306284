import type {Socket} from 'node:net';

type ConnectionState = {pendingAnswers: number; isEnding: boolean};

/** Counts the pending answers of each caller connection, so that none is closed early: callers may pipeline requests. */
export class CallerConnections {
	readonly #states = new WeakMap<Socket, ConnectionState>();

	/** Counts a new request. Returns false if the connection closes after an answer that was already written. */
	addRequest(socket: Socket): boolean {
		const state = this.#states.get(socket) ?? {pendingAnswers: 0, isEnding: false};
		this.#states.set(socket, state);
		state.pendingAnswers++;
		return !state.isEnding;
	}

	/** Counts a request as finished. */
	removeRequest(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state !== undefined) {
			state.pendingAnswers--;
		}
	}

	/** Whether exactly one answer is pending on the connection. */
	isLastAnswer(socket: Socket): boolean {
		return this.#states.get(socket)?.pendingAnswers === 1;
	}

	/** Marks the connection as closing after the answer that is being written. */
	setEnding(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state !== undefined) {
			state.isEnding = true;
		}
	}
}
