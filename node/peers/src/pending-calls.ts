import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {BodyBlocks, releaseBody, type Body} from '@buckthornpoint/frames/body-blocks.js';
import {frameTypes, type Frame} from '@buckthornpoint/frames/frames.js';
import {BodySenders} from './body-senders.js';
import type {MissingCall, CallHandler} from './peer-messages.js';

/** The pending calls of a link, and the frames of those that were not sent yet. */
export class PendingCalls {
	readonly #handlers = new Map<number, CallHandler>();
	/** Unsent frames, by call id. */
	readonly #unsentFrames = new Map<number, Buffer>();
	readonly #bodySenders = new BodySenders();

	get size(): number {
		return this.#handlers.size;
	}

	get hasUnsent(): boolean {
		return this.#unsentFrames.size > 0;
	}

	add(id: number, handler: CallHandler, body?: Body): void {
		this.#handlers.set(id, handler);
		if (body instanceof BodyBlocks) {
			this.#bodySenders.add(id, body);
		}
	}

	/** Sends the frame of a call, and its body if that is sent in frames of its own. */
	send(id: number, bytes: Buffer, socket: Socket | undefined): void {
		if (socket !== undefined) {
			socket.write(bytes);
			this.#bodySenders.start(id, socket);
		}
	}

	/** Fails the calls of whose body only a part was sent when the connection ended. They fail a microtask later, as their handlers may make further calls. */
	failSending(reason: string): void {
		const ids = this.#bodySenders.stopSending();
		if (ids.length > 0) {
			queueMicrotask(() => {
				this.#fail(reason, ids);
			});
		}
	}

	/** Holds a frame back until it can be sent. */
	addUnsent(id: number, bytes: Buffer): void {
		this.#unsentFrames.set(id, bytes);
	}

	/** Sends the frames that were held back, in their original order. */
	sendUnsent(socket: Socket): void {
		socket.cork();
		for (const [id, bytes] of this.#unsentFrames) {
			this.send(id, bytes, socket);
		}

		this.#unsentFrames.clear();
		socket.uncork();
	}

	/** Lists the ids of the pending calls that were sent. */
	listSent(): readonly number[] {
		return [...this.#handlers.keys()].filter(id => !this.#unsentFrames.has(id));
	}

	/** Handles an answer, or a report that a call has none. An error thrown by a handler affects no other call. */
	handleFrame({type, id, meta, body, isBodyDropped}: Frame, onProblem: (problem: string) => void): void {
		if (type === frameTypes.missing) {
			const {hasCome} = meta as MissingCall; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			this.#pick(id)?.onFailure({wasSent: hasCome, reason: hasCome ? 'the call may have run, and its answer was lost' : 'the call was lost when its connection broke'});
			return;
		}

		if (type !== frameTypes.response && type !== frameTypes.reply) {
			return;
		}

		const handler = this.#pick(id);
		if (handler === undefined) {
			releaseBody(body);
			return;
		}

		try {
			if (isBodyDropped) {
				handler.onFailure({wasSent: true, reason: 'the answer did not fit into the memory'});
			} else {
				handler.onAnswer(meta, body);
			}
		} catch (error) {
			onProblem(`the handler of an answer failed: ${String(error)}`);
		}
	}

	/** Removes a call, so that its answer is dropped. Returns whether it was sent. */
	remove(id: number): boolean {
		this.#handlers.delete(id);
		this.#bodySenders.remove(id);
		return !this.#unsentFrames.delete(id);
	}

	/** Fails all pending calls. */
	failAll(reason: string): void {
		this.#fail(reason, [...this.#handlers.keys()]);
	}

	/** Fails the calls that were not sent. */
	failUnsent(reason: string): void {
		this.#fail(reason, [...this.#unsentFrames.keys()]);
	}

	/** Fails the calls that were not sent and those that do not wait through a silence of the other node. */
	failUnlessWaiting(reason: string): void {
		this.#fail(reason, [...this.#handlers].filter(([id, {waitsForReconnect}]) => !waitsForReconnect || this.#unsentFrames.has(id)).map(([id]) => id));
	}

	#pick(id: number): CallHandler | undefined {
		const handler = this.#handlers.get(id);
		this.#handlers.delete(id);
		this.#bodySenders.remove(id);
		return handler;
	}

	#fail(reason: string, ids: readonly number[]): void {
		const failed = ids.map(id => ({handler: this.#handlers.get(id), wasSent: this.remove(id)}));
		for (const {handler, wasSent} of failed) {
			handler?.onFailure({wasSent, reason});
		}
	}
}
