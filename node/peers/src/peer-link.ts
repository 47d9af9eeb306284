import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers';
import type {Timer} from '@buckthornpoint/clock/clock.js';
import {
	encodeFrame, FrameReader, frameTypes, type FrameType,
} from '@buckthornpoint/frames/frames.js';
import {encodeCall, type Call} from './encode-call.js';
import {LinkLiveness} from './link-liveness.js';
import {
	checkIntervalMs, connectTimeoutMs, unusedProbeTimeoutMs, heldBackTimeoutMs, pingAfterIdleMs, pongOverdueMs, silenceTimeoutMs,
} from './link-times.js';
import {PendingCalls} from './pending-calls.js';
import {openSocket} from './open-socket.js';
import type {PeerLinkOpts} from './peer-link-opts.js';
import type {CallHandler, ResumedCalls, SentPing} from './peer-messages.js';
import {Reachability} from './reachability.js';

/** A link to another node. It multiplexes any number of calls over one connection, which is opened with the first call. */
export class PeerLink {
	readonly #opts: PeerLinkOpts;
	readonly #pendingCalls = new PendingCalls();
	#socket: Socket | undefined;
	#reader: FrameReader | undefined;
	/** Whether the other node has answered on this connection. */
	#isConnected = false;
	#nextId = 1;
	#timer: Timer | undefined;
	readonly #liveness = new LinkLiveness();
	readonly #reachability: Reachability;
	#lastCallMs = Number.NEGATIVE_INFINITY;
	#isClosed = false;
	/** Whether there was an earlier connection, on which calls that are still pending may have been sent. */
	#isResuming = false;
	/** Whether the other node announced that it accepts no further calls on this connection. */
	#isLeaving = false;

	constructor(opts: PeerLinkOpts) {
		this.#opts = opts;
		this.#reachability = new Reachability({
			clock: opts.clock,
			onUnreachable: opts.onUnreachable,
			reconnect: () => {
				const isNeeded = this.#pendingCalls.size > 0 || this.#readNowMs() - this.#lastCallMs < unusedProbeTimeoutMs;
				if (!this.#isClosed && this.#socket === undefined && isNeeded) {
					this.#open();
					this.#startTimer();
				}
			},
		});
	}

	/** Whether calls fail immediately: the other node is leaving, or could not be reached at the last attempt. */
	isDown(): boolean {
		return this.#isLeaving || !this.#reachability.isReachable;
	}

	/** Whether calls are pending. */
	hasPendingCalls(): boolean {
		return this.#pendingCalls.size > 0;
	}

	/** Sends a call. Returns its id, by which it can be cancelled; undefined if it failed immediately. */
	call(type: FrameType, meta: unknown, handler: CallHandler, body?: Call['body']): number | undefined {
		this.#lastCallMs = this.#readNowMs();
		if (this.#isClosed || this.isDown()) {
			this.#reachability.scheduleProbe();
			handler.onFailure({wasSent: false, reason: 'the other node is unreachable'});
			return undefined;
		}

		const id = this.#nextId++;
		this.#pendingCalls.add(id, handler, body);
		this.#write(id, encodeCall(type, id, {meta, body, sentMs: this.#readNowMs()}), handler.waitsForReconnect);
		return id;
	}

	/** Sends a message that has no answer. Its delivery is not guaranteed. */
	notify(type: FrameType, meta: unknown): void {
		if (!this.#isClosed && !this.isDown()) {
			this.#write(this.#nextId++, encodeFrame(type, 0, meta), false);
		}
	}

	/** Removes a call, so that its answer is dropped. */
	removeCall(id: number): void {
		this.#pendingCalls.remove(id);
	}

	/** Cancels a call. If it was sent, the other node is notified; otherwise it is never sent. */
	cancelCall(id: number): void {
		if (this.#pendingCalls.remove(id) && this.#isConnected) {
			this.#socket?.write(encodeFrame(frameTypes.cancel, id, undefined));
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#reachability.close();
		this.#closeSocket();
		this.#pendingCalls.failAll('the link was closed');
	}

	#write(id: number, bytes: Buffer, waitsForReconnect: boolean): void {
		if (this.#socket === undefined) {
			this.#open();
		}

		if (this.#isConnected && !this.#mustPing(waitsForReconnect)) {
			this.#pendingCalls.send(id, bytes, this.#socket);
		} else {
			this.#pendingCalls.addUnsent(id, bytes);
			this.#sendPing();
		}

		this.#startTimer();
	}

	/**
	 * Whether the link must receive a liveness signal before more is sent. A request sent on a silent connection may have
	 * arrived, and must not be retried if it must not run twice. On an idle link such a request therefore waits for a pong.
	 */
	#mustPing(waitsForReconnect: boolean): boolean {
		const nowMs = this.#readNowMs();
		return this.#pendingCalls.hasUnsent || this.#liveness.isPongOverdue(nowMs, pongOverdueMs) || (waitsForReconnect && this.#liveness.isIdle(nowMs, pingAfterIdleMs));
	}

	#sendPing(): void {
		if (this.#isConnected && !this.#liveness.isPongPending) {
			this.#liveness.recordPing(this.#readNowMs());
			this.#socket?.write(this.#encodePing());
		}
	}

	#open(): void {
		const handleIfPresent = (socket: Socket, handle: () => void): void => {
			if (this.#socket === socket) {
				handle();
			}
		};

		this.#socket = openSocket(this.#opts.address, {
			onConnect: socket => {
				handleIfPresent(socket, () => {
					socket.write(this.#encodePing());
				});
			},
			onData: (socket, chunk) => {
				handleIfPresent(socket, () => {
					this.#handleData(chunk, socket);
				});
			},
			onEnd: (socket, reason) => {
				handleIfPresent(socket, () => {
					this.#handleDisconnect(reason);
				});
			},
		});
		this.#reader = new FrameReader(this.#opts.memory);
		this.#isConnected = false;
		this.#liveness.recordReceived(this.#readNowMs());
	}

	/**
	 * Starts sending calls once the other node has answered a ping. A process that is busy starting accepts connections long
	 * before it reads from them, and would start a request after its caller has disconnected.
	 */
	#startSending(socket: Socket): void {
		this.#isConnected = true;
		this.#reachability.recordReachable();
		if (this.#isResuming) {
			socket.write(encodeFrame(frameTypes.resume, 0, {ids: this.#pendingCalls.listSent()} satisfies ResumedCalls));
		}

		this.#isResuming = true;
		this.#pendingCalls.sendUnsent(socket);
	}

	#handleData(chunk: Buffer, socket: Socket): void {
		this.#liveness.recordReceived(this.#readNowMs());
		if (!this.#isConnected) {
			this.#startSending(socket);
		} else if (this.#pendingCalls.hasUnsent) {
			this.#pendingCalls.sendUnsent(socket);
		}

		try {
			for (const frame of this.#reader?.read(chunk) ?? []) {
				this.#isLeaving ||= frame.type === frameTypes.notice;
				this.#pendingCalls.handleFrame(frame, this.#opts.onProblem);
			}
		} catch (error) {
			this.#handleDisconnect(String(error));
		}
	}

	/** Replaces a broken connection immediately, since the other node keeps the pending calls. If the connection was never established, that node counts as unreachable. */
	#handleDisconnect(reason: string): void {
		if (this.#isConnected && !this.#isLeaving) {
			this.#opts.onDisconnect(reason);
			this.#closeSocket();
			this.#open();
			this.#startTimer();
		} else {
			this.#fail(reason);
		}
	}

	/** The other node may only be slow: calls that no other node can answer stay pending, and a new connection is opened. */
	#handleSilence(reason: string): void {
		const wasConnected = this.#isConnected;
		this.#closeSocket();
		this.#pendingCalls.failUnlessWaiting(reason);
		if (wasConnected) {
			this.#open();
			this.#startTimer();
		} else {
			this.#reachability.recordUnreachable(reason);
		}
	}

	#startTimer(): void {
		this.#timer ??= this.#opts.clock.startTimer(checkIntervalMs, () => {
			this.#timer = undefined;
			this.#check();
		});
	}

	#check(): void {
		const isOpening = this.#socket !== undefined && !this.#isConnected;
		if (this.#socket === undefined || (this.#pendingCalls.size === 0 && !isOpening)) {
			return;
		}

		const nowMs = this.#readNowMs();
		if (!this.#isConnected && this.#liveness.isIdle(nowMs, connectTimeoutMs)) {
			this.#handleIfStillSilent(this.#socket, () => {
				this.#handleSilence('the other node did not answer on a new connection in time');
			});
			return;
		}

		if (this.#isConnected && this.#liveness.isPongOverdue(nowMs, silenceTimeoutMs)) {
			this.#handleIfStillSilent(this.#socket, () => {
				this.#handleSilence('the connection is silent');
			});
			return;
		}

		if (this.#isConnected && this.#liveness.isIdle(nowMs, checkIntervalMs)) {
			this.#sendPing();
		}

		if (this.#isConnected && this.#liveness.isPongOverdue(nowMs, heldBackTimeoutMs)) {
			this.#handleIfStillSilent(this.#socket, () => {
				this.#pendingCalls.failUnsent('the other node did not answer a ping in time');
			});
		}

		this.#startTimer();
	}

	/** After a stall of this process, timers run before sockets are read. Waits one turn of the event loop, since received data may be unread. */
	#handleIfStillSilent(socket: Socket, handle: () => void): void {
		const {lastReceivedMs} = this.#liveness;
		setImmediate(() => {
			if (this.#socket === socket && this.#liveness.lastReceivedMs === lastReceivedMs) {
				handle();
			} else if (this.#socket === socket) {
				this.#startTimer();
			}
		});
	}

	#encodePing(): Buffer {
		return encodeFrame(frameTypes.ping, 0, {sentMs: this.#readNowMs(), session: this.#opts.session, nextId: this.#nextId} satisfies SentPing);
	}

	#fail(reason: string): void {
		this.#closeSocket();
		this.#isLeaving = false;
		this.#reachability.recordUnreachable(reason);
		this.#pendingCalls.failAll(reason);
	}

	#closeSocket(): void {
		const socket = this.#socket;
		this.#socket = undefined;
		this.#isConnected = false;
		this.#timer?.close();
		this.#timer = undefined;
		this.#reader?.close();
		socket?.destroy();
		this.#pendingCalls.failSending('the connection ended while the body of the call was sent');
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
