import type {Socket} from 'node:net';
import type {BodyBlocks} from '@buckthornpoint/frames/body-blocks.js';
import {encodeFrameHead, frameTypes} from '@buckthornpoint/frames/frames.js';

/** Frames of one body that are written and not yet accepted by the system; others are sent between them. */
const maxWrittenFrames = 2;

/** Sends one body in frames, as fast as the socket accepts them. */
class BodySender {
	readonly #id: number;
	readonly #body: BodyBlocks;
	#pieces: readonly Uint8Array[] = [];
	#nextIndex = 0;
	#writtenFrames = 0;
	#isStopped = false;
	#isReleased = false;
	#isStarted = false;

	constructor(id: number, body: BodyBlocks) {
		this.#id = id;
		this.#body = body;
		body.acquire();
	}

	/** Whether a part of the body was sent and another part was not. */
	get isSending(): boolean {
		return this.#isStarted && this.#nextIndex < this.#pieces.length;
	}

	start(socket: Socket): void {
		this.#isStarted = true;
		this.#pieces = this.#body.listPieces();
		this.#sendNext(socket);
	}

	/** Sends nothing more. The body is released once the system no longer reads it. */
	stop(): void {
		this.#isStopped = true;
		this.#releaseIfUnread();
	}

	#sendNext(socket: Socket): void {
		while (!this.#isStopped && this.#writtenFrames < maxWrittenFrames && this.#nextIndex < this.#pieces.length) {
			const piece = this.#pieces[this.#nextIndex++]!;
			this.#writtenFrames++;
			socket.cork();
			socket.write(encodeFrameHead(frameTypes.body, this.#id, undefined, piece.length));
			socket.write(piece, error => {
				this.#writtenFrames--;
				this.#isStopped ||= error instanceof Error;
				this.#sendNext(socket);
			});
			socket.uncork();
		}

		if (this.#nextIndex === this.#pieces.length) {
			this.#isStopped = true;
		}

		this.#releaseIfUnread();
	}

	#releaseIfUnread(): void {
		if (this.#isStopped && this.#writtenFrames === 0 && !this.#isReleased) {
			this.#isReleased = true;
			this.#body.release();
		}
	}
}

/** The large bodies of the calls of a link. */
export class BodySenders {
	readonly #senders = new Map<number, BodySender>();

	/** Holds the body of a call until it was sent or the call is removed. */
	add(id: number, body: BodyBlocks): void {
		this.#senders.set(id, new BodySender(id, body));
	}

	/** Sends the body of a call, if it has one, after the first frame of the call. */
	start(id: number, socket: Socket): void {
		this.#senders.get(id)?.start(socket);
	}

	remove(id: number): void {
		this.#senders.get(id)?.stop();
		this.#senders.delete(id);
	}

	/** Stops the bodies of which a part was sent, when their connection ends. Returns their calls. */
	stopSending(): readonly number[] {
		const ids = [...this.#senders].filter(([, {isSending}]) => isSending).map(([id]) => id);
		for (const id of ids) {
			this.remove(id);
		}

		return ids;
	}
}
