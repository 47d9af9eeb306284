import {createServer, type Server, type Socket} from 'node:net';
import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import {
	createUnlimitedMemory, releaseBody, type Body, type BodyMemory,
} from '@buckthornpoint/frames/body-blocks.js';
import {
	encodeFrame, FrameReader, frameTypes, type Frame,
} from '@buckthornpoint/frames/frames.js';
import type {MissingCall, ResumedCalls, SentPing} from './peer-messages.js';
import {PeerSession} from './peer-session.js';
import {ReceivedBodies} from './received-bodies.js';
import {RequestReceiver, type RequestConnection} from './request-receiver.js';
import {TransitMeter} from './transit-meter.js';

/** Answers a call of another node; must be called at most once. A body in blocks is released once it was written. */
export type Reply = (meta: unknown, body?: Body) => void;

/** A request received from another node. */
export type ReceivedRequest = {
	readonly meta: unknown;
	/** Released by the server once the request was answered or cancelled. */
	readonly body: Body;
	/** How long the request was delayed in transit. */
	readonly delayMs: number;
	/** How long the transfer of a large body took after that; 0 if it is not set. */
	readonly transferMs?: number;
};

/** The memory for the bodies of requests. */
export type RequestMemory = {
	readonly memory: BodyMemory;
	/** Refuses a request whose body does not fit into the memory. */
	readonly onOverload: (meta: unknown, reply: Reply) => void;
};

/** Handlers for the messages of other nodes. */
export type PeerServerHandlers = {
	/** Handles a request for the local backend server. Returns a function that cancels it. */
	readonly onRequest: (received: ReceivedRequest, reply: Reply) => () => void;
	/** Handles a control call. */
	readonly onCall: (meta: unknown, reply: Reply) => void;
	/** Handles a message that has no answer. */
	readonly onNotice: (meta: unknown) => void;
	/** Called with a message about invalid frames, errors thrown by handlers, and broken connections. */
	readonly onProblem: (problem: string) => void;
};

type Connection = RequestConnection & {
	readonly socket: Socket;
	session: PeerSession;
};

/** Connections that may wait until the process accepts them, one in each turn of the event loop. */
const acceptQueueLength = 4096;

/** How long requests of a link keep running after its connection broke: a node that was paused reconnects within 400 ms. */
const resumeTimeoutMs = 800;

/** Server for the links of other nodes. */
export class PeerServer {
	readonly #memory: BodyMemory;
	readonly #receiver: RequestReceiver;
	readonly #clock: Clock;
	readonly #handlers: PeerServerHandlers;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	/** Sessions by link id. */
	readonly #sessions = new Map<string, PeerSession>();
	readonly #resumeTimers = new Set<Timer>();
	#isClosed = false;

	/** Without `requestMemory`, bodies are received without a limit. */
	constructor(clock: Clock, handlers: PeerServerHandlers, requestMemory?: RequestMemory) {
		const {memory, onOverload} = requestMemory ?? {memory: createUnlimitedMemory(), onOverload: () => undefined};
		this.#memory = memory;
		this.#receiver = new RequestReceiver(clock, handlers.onRequest, onOverload);
		this.#clock = clock;
		this.#handlers = handlers;
		this.#server = createServer({noDelay: true}, socket => {
			this.#serveSocket(socket);
		});
	}

	async listen(host: string, port: number): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({port, host, backlog: acceptQueueLength}, resolve);
		});
	}

	/** The port in use; chosen by the system if the server was told to listen on port 0. */
	getPort(): number {
		const address = this.#server.address();
		return typeof address === 'object' && address !== null ? address.port : 0;
	}

	/** Notifies the other nodes that no further calls are accepted. Calls received before are still answered. */
	announceLeaving(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			writeIfOpen(socket, encodeFrame(frameTypes.notice, 0, {isLeaving: true}));
		}
	}

	/** Closes the connections gracefully, so that written answers arrive. Destroying a connection with unread bytes would lose them. */
	closeConnections(): void {
		for (const socket of this.#sockets) {
			socket.end();
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		for (const timer of this.#resumeTimers) {
			timer.close();
		}

		for (const session of this.#sessions.values()) {
			session.cancelAll();
		}
	}

	#serveSocket(socket: Socket): void {
		const reader = new FrameReader(this.#memory);
		const connection: Connection = {
			socket, transitMeter: new TransitMeter(), bodies: new ReceivedBodies(this.#memory), session: new PeerSession(this.#clock),
		};
		connection.session.setSocket(socket);
		this.#sockets.add(socket);
		socket.on('data', chunk => {
			try {
				const frames = reader.read(chunk);
				// After a stall, a request and its cancellation may arrive together; the request must not be started.
				const cancelled = new Set(frames.filter(({type}) => type === frameTypes.cancel).map(({id}) => id));
				for (const frame of frames) {
					if ((frame.type !== frameTypes.request && frame.type !== frameTypes.requestStart) || !cancelled.has(frame.id)) {
						this.#handleFrameSafely(frame, connection);
					} else {
						releaseBody(frame.body);
					}
				}
			} catch (error) {
				this.#handlers.onProblem(String(error));
				socket.destroy();
			}
		});
		socket.on('error', error => {
			this.#handlers.onProblem(error.message);
		});
		socket.on('close', () => {
			this.#sockets.delete(socket);
			reader.close();
			connection.bodies.close();
			if (connection.session.removeSocket(socket)) {
				this.#waitForResume(connection.session);
			}
		});
	}

	/** Cancels the requests of a session unless the other node reconnects in time. */
	#waitForResume(session: PeerSession): void {
		const end = (): void => {
			session.cancelAll();
			for (const [name, known] of this.#sessions) {
				if (known === session) {
					this.#sessions.delete(name);
				}
			}
		};

		if (this.#isClosed) {
			end();
			return;
		}

		const timer = this.#clock.startTimer(resumeTimeoutMs, () => {
			this.#resumeTimers.delete(timer);
			if (!session.isConnected) {
				end();
			}
		});
		this.#resumeTimers.add(timer);
	}

	/** Handles a frame. An error thrown by a handler does not affect other frames of the connection. */
	#handleFrameSafely(frame: Frame, connection: Connection): void {
		try {
			this.#handleFrame(frame, connection);
		} catch (error) {
			this.#handlers.onProblem(`the handler of a received message failed: ${String(error)}`);
		}
	}

	#handleFrame(frame: Frame, connection: Connection): void {
		const {socket, session} = connection;
		const {type, id, meta} = frame;
		switch (type) {
			case frameTypes.ping: {
				this.#handlePing(frame, connection);
				break;
			}

			case frameTypes.request: {
				this.#receiver.handleRequest(frame, connection);
				break;
			}

			case frameTypes.requestStart: {
				this.#receiver.handleRequestStart(frame, connection);
				break;
			}

			case frameTypes.body: {
				connection.bodies.add(id, frame.body as Uint8Array); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				break;
			}

			case frameTypes.cancel: {
				connection.bodies.remove(id);
				session.cancel(id);
				break;
			}

			case frameTypes.resume: {
				this.#handleResume(meta as ResumedCalls, connection); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				break;
			}

			case frameTypes.call: {
				session.recordCall(id);
				this.#handlers.onCall(meta, answer => {
					writeIfOpen(socket, encodeFrame(frameTypes.reply, id, answer));
				});
				break;
			}

			case frameTypes.notice: {
				this.#handlers.onNotice(meta);
				break;
			}

			case frameTypes.missing:
			case frameTypes.response:
			case frameTypes.reply:
			case frameTypes.pong: {
				this.#handlers.onProblem(`received an answer without a call: frame type ${type}`);
				break;
			}
		}
	}

	/** A ping provides a sample of the transit time and identifies the link of the connection. */
	#handlePing({id, meta}: Frame, connection: Connection): void {
		const {sentMs, session: name, nextId} = meta as SentPing; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		connection.transitMeter.measureDelay(sentMs, this.#clock.readTimestamp().monotonicMs);
		const known = this.#sessions.get(name);
		const session = known ?? connection.session;
		if (known === undefined) {
			this.#sessions.set(name, session);
			session.recordStart(nextId);
		}

		connection.session = session;
		session.setSocket(connection.socket);
		connection.socket.write(encodeFrame(frameTypes.pong, id, undefined));
	}

	#handleResume({ids}: ResumedCalls, {socket, session}: Connection): void {
		for (const {id, hasCome} of session.handleResume(ids)) {
			socket.write(encodeFrame(frameTypes.missing, id, {hasCome} satisfies MissingCall));
		}
	}
}

function writeIfOpen(socket: Socket, bytes: Uint8Array): void {
	if (!socket.destroyed) {
		socket.write(bytes);
	}
}
