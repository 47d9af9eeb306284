import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import {BodyBlocks, type Body, type BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {CallerConnections} from './caller-connections.js';

/** The connection of an answer of which nothing was read for this long is closed. */
const unreadTimeoutMs = 10_000;

/** Interval of the checks for unread answers. */
const checkIntervalMs = 500;

/** Blocks of one answer that are written and not yet accepted by the system; the rest is written as they are. */
const maxWrittenBlocks = 4;

/** Dependencies of the deliveries. */
export type AnswerDeliveriesOpts = {
	readonly memory: BodyMemory;
	readonly clock: Clock;
	readonly connections: Pick<CallerConnections, 'watchEnd'>;
};

type Delivery = {readonly response: ServerResponse; readonly socket: Socket; progressMs: number};

/** Writes answers to callers and counts those that are read slowly towards the memory of the node. */
export class AnswerDeliveries {
	readonly #memory: BodyMemory;
	readonly #clock: Clock;
	readonly #connections: Pick<CallerConnections, 'watchEnd'>;
	readonly #deliveries = new Set<Delivery>();
	#timer: Timer | undefined;
	#closedCount = 0;

	constructor({memory, clock, connections}: AnswerDeliveriesOpts) {
		this.#memory = memory;
		this.#clock = clock;
		this.#connections = connections;
	}

	/** Number of connections closed because their answers were not read. */
	get closedCount(): number {
		return this.#closedCount;
	}

	/** Writes the body of an answer, whose head was written, and ends the answer. A body in blocks is released after that. */
	deliver(response: ServerResponse, socket: Socket, body: Body): void {
		if (body instanceof BodyBlocks) {
			this.#deliverBlocks(response, socket, body);
			return;
		}

		response.end(body);
		// The system takes most answers at once.
		if (response.writableLength > 0) {
			this.#watch(response, socket, body.length);
		}
	}

	close(): void {
		this.#timer?.close();
	}

	#watch(response: ServerResponse, socket: Socket, bytes: number): void {
		const evict = this.#createEvict(socket);
		const holder = this.#memory.addHolder({evict});
		const delivery = this.#add(response, socket);
		this.#connections.watchEnd(socket, response, () => {
			this.#deliveries.delete(delivery);
			holder.close();
		});
		if (!holder.acquire(bytes, this.#readNowMs())) {
			evict();
		}
	}

	#deliverBlocks(response: ServerResponse, socket: Socket, body: BodyBlocks): void {
		const pieces = body.listPieces().values();
		const delivery = this.#add(response, socket);
		let isClosed = false;
		body.startDelivery(this.#createEvict(socket));
		// When the response or its connection is closed, no write is pending.
		this.#connections.watchEnd(socket, response, () => {
			isClosed = true;
			this.#deliveries.delete(delivery);
			body.release();
		});
		const writeNext = (): void => {
			const {value: piece} = pieces.next();
			if (piece === undefined) {
				response.end();
				return;
			}

			response.write(piece, error => {
				if (!isClosed && !(error instanceof Error)) {
					delivery.progressMs = this.#readNowMs();
					body.recordDelivered(piece.length);
					writeNext();
				}
			});
		};

		for (let index = 0; index < maxWrittenBlocks; index++) {
			writeNext();
		}
	}

	#add(response: ServerResponse, socket: Socket): Delivery {
		const delivery = {response, socket, progressMs: this.#readNowMs()};
		this.#deliveries.add(delivery);
		this.#startTimer();
		return delivery;
	}

	#createEvict(socket: Socket): () => void {
		return () => {
			this.#closedCount++;
			socket.destroy();
		};
	}

	#startTimer(): void {
		this.#timer ??= this.#clock.startTimer(checkIntervalMs, () => {
			this.#timer = undefined;
			this.#closeUnread(this.#readNowMs());
			if (this.#deliveries.size > 0) {
				this.#startTimer();
			}
		});
	}

	#closeUnread(nowMs: number): void {
		for (const delivery of this.#deliveries) {
			if (delivery.response.socket === null) {
				// An earlier answer on the connection is still pending.
				delivery.progressMs = nowMs;
			} else if (nowMs - delivery.progressMs >= unreadTimeoutMs) {
				this.#createEvict(delivery.socket)();
			}
		}
	}

	#readNowMs(): number {
		return this.#clock.readTimestamp().monotonicMs;
	}
}
