import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {PipeliningLimit} from '@buckthornpoint/admission/pipelining-limit.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {drainBeforeClose} from './drain-connection.js';
import {HeadWatch} from './head-watch.js';
import {PausedReads} from './paused-reads.js';

type ConnectionState = {
	/** Number of requests since the connection was opened. */
	requests: number;
	pendingAnswers: number;
	/** The latest request, while its body is incomplete. */
	reading: IncomingMessage | undefined;
	isEnding: boolean;
	/** Whether nothing more is passed on to the HTTP parser. The connection closes after the answers that are due. */
	isInputStopped: boolean;
	readonly acceptedMs: number;
};

/** A connection without a request for this long is incomplete. Before that, a busy process may not have read its request yet. */
const maxUnreadMs = 3000;

/** From this share of the limit on, connections close after a refusal: refused callers come back on a new connection. */
const nearLimitShare = 0.75;

/**
 * The connections of callers. It counts the pending answers of each, so that none is closed early: callers may pipeline requests.
 * At the limit, a connection gives way to a new one, since untrusted callers may keep any number of them open.
 */
export class CallerConnections {
	readonly #clock: Clock;
	readonly #maxCount: number;
	readonly #states = new Map<Duplex, ConnectionState>();
	/** Connections on which no request was read yet, oldest first. */
	readonly #unread = new Set<Duplex>();
	/** Connections with an incomplete request and no answer that is due, the one that has been incomplete for longest first. */
	readonly #incomplete = new Set<Duplex>();
	/** Connections without a pending answer, the one idle for longest first. */
	readonly #idle = new Set<Duplex>();
	/** Called when a connection closes before the answers of its requests were delivered. */
	readonly #closeHandlers = new WeakMap<Duplex, Set<() => void>>();
	readonly #pipelining = new PipeliningLimit();
	readonly #heads: HeadWatch;
	readonly #pausedReads = new PausedReads();
	#closedCount = 0;

	constructor(clock: Clock, maxCount = Number.POSITIVE_INFINITY) {
		this.#clock = clock;
		this.#maxCount = maxCount;
		this.#heads = new HeadWatch({
			clock,
			isAnswerDue: socket => this.isAnswerDue(socket),
			onAbandon: socket => {
				this.#close(socket);
			},
		});
	}

	/** Number of connections that were closed in favour of others. */
	get closedCount(): number {
		return this.#closedCount;
	}

	/** Whether the limit is near, so that callers should not keep connections that they don't need. */
	get isNearLimit(): boolean {
		return this.#states.size >= nearLimitShare * this.#maxCount;
	}

	/** Whether the connections, with further ones that wait, are at the limit. */
	isFull(waitingCount: number): boolean {
		return this.#states.size + waitingCount >= this.#maxCount;
	}

	/** Adds a new connection. At the limit, another one is closed, or the new one if all others are busy. */
	add(socket: Socket): void {
		if (this.#states.size >= this.#maxCount) {
			this.#close(this.#chooseClosed() ?? socket);
		}

		if (socket.destroyed) {
			return;
		}

		const closeHandlers = new Set<() => void>();
		this.#closeHandlers.set(socket, closeHandlers);
		this.#states.set(socket, {
			requests: 0, pendingAnswers: 0, reading: undefined, isEnding: false, isInputStopped: false, acceptedMs: this.#readNowMs(),
		});
		this.#unread.add(socket);
		this.#heads.add(socket);
		this.#watchInput(socket);
		this.#pausedReads.add(socket);
		socket.once('close', () => {
			this.#remove(socket);
			for (const handle of closeHandlers) {
				handle();
			}
		});
	}

	/** Counts a new request. Returns false if the connection closes after an answer that was already written, or has too many requests. */
	addRequest(incoming: IncomingMessage): boolean {
		const {socket} = incoming;
		const state = this.#states.get(socket);
		if (state === undefined) {
			return false;
		}

		const earlierCount = state.pendingAnswers;
		state.requests++;
		state.pendingAnswers++;
		state.reading = incoming;
		if (!this.#pipelining.admit(earlierCount)) {
			this.#close(socket);
			this.#pausedReads.stop(this.#states.keys());
			return false;
		}

		this.#unread.delete(socket);
		this.#idle.delete(socket);
		if (earlierCount === 0) {
			this.#incomplete.add(socket);
		}

		return !state.isEnding;
	}

	/**
	 * Calls `handle` once, when a response was delivered or its connection closed. A response that waits behind another one on its
	 * connection emits no event when the caller disconnects.
	 */
	watchEnd(socket: Duplex, response: ServerResponse, handle: () => void): void {
		const handlers = this.#closeHandlers.get(socket);
		let isEnded = false;
		// Not removed from the response: that takes more time than the call of a handler that has ended.
		const handleEnd = (): void => {
			if (!isEnded) {
				isEnded = true;
				handlers?.delete(handleEnd);
				handle();
			}
		};

		handlers?.add(handleEnd);
		response.on('close', handleEnd);
	}

	/** Records that the body of a request is complete. Requests behind it may have been read already. */
	setRead(incoming: IncomingMessage): void {
		const {socket} = incoming;
		const state = this.#states.get(socket);
		if (state?.reading === incoming) {
			state.reading = undefined;
		}

		if (this.isAnswerDue(socket)) {
			this.#incomplete.delete(socket);
		}
	}

	/** Counts a request as finished. */
	removeRequest(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state === undefined) {
			return;
		}

		state.pendingAnswers--;
		this.#pipelining.release(state.pendingAnswers);
		if (state.pendingAnswers === 0) {
			state.reading = undefined;
			this.#incomplete.delete(socket);
			this.#idle.add(socket);
			if (state.isInputStopped) {
				socket.destroySoon();
			}
		} else if (!this.isAnswerDue(socket)) {
			this.#incomplete.add(socket);
		}
	}

	/** Whether the caller still has to get an answer to a request that was read. */
	isAnswerDue(socket: Duplex): boolean {
		const state = this.#states.get(socket);
		return state !== undefined && state.pendingAnswers > (state.reading === undefined ? 0 : 1);
	}

	/** Discards everything that is read from the connection from now on, and closes it after the answers that are due, at once if none is. */
	stopInput(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state === undefined || !this.isAnswerDue(socket)) {
			this.#close(socket);
		} else if (!state.isInputStopped) {
			state.isInputStopped = true;
			state.isEnding = true;
			this.#closedCount++;
			drainBeforeClose(socket, this.#clock);
		}
	}

	/** Number of requests on the connection since it was opened; 0 once it is closed. */
	countRequests(socket: Duplex): number {
		return this.#states.get(socket)?.requests ?? 0;
	}

	/** Number of requests on the connection without a final answer. */
	countPending(socket: Duplex): number {
		return this.#states.get(socket)?.pendingAnswers ?? 0;
	}

	/** Whether exactly one answer is pending on the connection. */
	isLastAnswer(socket: Duplex): boolean {
		return this.countPending(socket) === 1;
	}

	/** Marks the connection as closing after the answer that is being written. */
	setEnding(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state !== undefined) {
			state.isEnding = true;
		}
	}

	/**
	 * Counts the bytes of a connection before the HTTP parser gets them. A listener beside that of the HTTP server could not keep bytes
	 * from the parser, so it takes its place.
	 */
	#watchInput(socket: Socket): void {
		const listeners = socket.listeners('data');
		socket.removeAllListeners('data');
		socket.on('data', (chunk: Buffer) => {
			try {
				if (this.#admitInput(socket, chunk)) {
					for (const listener of listeners) {
						listener.call(socket, chunk);
					}
				}
			} catch (error) {
				this.stopInput(socket);
				throw error;
			}
		});
	}

	/** Returns whether the HTTP parser gets the bytes. */
	#admitInput(socket: Socket, chunk: Buffer): boolean {
		const state = this.#states.get(socket);
		if (state === undefined || state.isInputStopped) {
			return false;
		}

		const {headCount, isAdmitted} = this.#heads.read(socket, chunk);
		if (isAdmitted && this.#pipelining.canAdmit(state.pendingAnswers, headCount)) {
			return true;
		}

		this.stopInput(socket);
		return false;
	}

	/** Closes a connection before its caller does. */
	#close(socket: Duplex): void {
		this.#closedCount++;
		this.#remove(socket);
		socket.destroy();
	}

	/** Chooses in constant time: at the limit, a busy node would otherwise search all connections for each new one. */
	#chooseClosed(): Duplex | undefined {
		const [incomplete] = this.#incomplete;
		const [unread] = this.#unread;
		const [idle] = this.#idle;
		const isUnreadLong = unread !== undefined && this.#readNowMs() - this.#states.get(unread)!.acceptedMs >= maxUnreadMs;
		return incomplete ?? (isUnreadLong ? unread : undefined) ?? idle ?? unread;
	}

	#remove(socket: Duplex): void {
		this.#heads.remove(socket);
		const state = this.#states.get(socket);
		if (this.#states.delete(socket)) {
			this.#pipelining.releaseConnection(state?.pendingAnswers ?? 0);
		}

		for (const group of [this.#unread, this.#incomplete, this.#idle]) {
			group.delete(socket);
		}
	}

	#readNowMs(): number {
		return this.#clock.readTimestamp().monotonicMs;
	}
}
