import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {setImmediate} from 'node:timers';
import {maxSmallBytes, type MemoryHolder} from '@buckthornpoint/admission/memory-budget.js';
import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import {
	releaseBody, type Body, type BodyBlocks, type BodyMemory,
} from '@buckthornpoint/frames/body-blocks.js';

/** A complete body. It holds memory until `release` is called. */
export type UploadedBody = {readonly body: Body; readonly release: () => void};

/** How the reading of a body ended: complete, or why it was abandoned. */
export type UploadEnd = UploadedBody | {readonly problem: UploadProblem};

/** Why a body was not read to its end. */
export type UploadProblem = 'too-long' | 'no-memory' | 'late';

/** Limits of one body. */
export type UploadOpts = {
	readonly limitBytes: number;
	/** Time by which the body must be complete. */
	readonly endMs: number;
};

/** Interval of the checks for bodies that are late; callers' deadlines are some seconds. */
const checkIntervalMs = 100;

const emptyBody = Buffer.alloc(0);

/** Reads the bodies of callers' requests within the memory of the node. */
export class CallerUploads {
	readonly #memory: BodyMemory;
	readonly #clock: Clock;
	readonly #uploads = new Set<Upload>();
	#timer: Timer | undefined;
	#isTimerPlanned = false;
	#isClosed = false;

	constructor(memory: BodyMemory, clock: Clock) {
		this.#memory = memory;
		this.#clock = clock;
	}

	/** Reads a body. Calls `finish` once, or never if the caller disconnects first. An abandoned body is not read any further. */
	read(incoming: IncomingMessage, opts: UploadOpts, finish: (end: UploadEnd) => void): void {
		const upload = new Upload(this.#memory, opts, {
			onEnd: end => {
				this.#uploads.delete(upload);
				if ('problem' in end) {
					incoming.removeAllListeners('data');
					incoming.pause();
				}

				finish(end);
			},
			onClose: () => {
				this.#uploads.delete(upload);
			},
		});
		this.#uploads.add(upload);
		const announced = incoming.headers['content-length'];
		if (!upload.start(announced === undefined ? undefined : Number(announced))) {
			return;
		}

		incoming.on('data', (chunk: Buffer) => {
			upload.add(chunk);
		});
		incoming.on('end', () => {
			upload.complete();
		});
		incoming.on('close', () => {
			upload.close();
		});
		this.#planTimer();
	}

	close(): void {
		this.#isClosed = true;
		this.#timer?.close();
	}

	/** Starts the timer a turn of the event loop later: most bodies arrive with their heads, and a timer for each would wake up an idle node once more. */
	#planTimer(): void {
		if (this.#isTimerPlanned || this.#timer !== undefined) {
			return;
		}

		this.#isTimerPlanned = true;
		setImmediate(() => {
			this.#isTimerPlanned = false;
			if (this.#uploads.size > 0 && !this.#isClosed) {
				this.#startTimer();
			}
		});
	}

	#startTimer(): void {
		this.#timer ??= this.#clock.startTimer(checkIntervalMs, () => {
			this.#timer = undefined;
			const nowMs = this.#clock.readTimestamp().monotonicMs;
			for (const upload of this.#uploads) {
				if (upload.endMs <= nowMs) {
					upload.refuse('late');
				}
			}

			if (this.#uploads.size > 0) {
				this.#startTimer();
			}
		});
	}
}

type UploadHandlers = {readonly onEnd: (end: UploadEnd) => void; readonly onClose: () => void};

/** One body that is being read. */
class Upload {
	readonly #memory: BodyMemory;
	readonly #opts: UploadOpts;
	readonly #handlers: UploadHandlers;
	#announcedBytes: number | undefined;
	/** A body that arrives in one piece is not copied. */
	#piece: Buffer | undefined;
	#pieceHolder: MemoryHolder | undefined;
	#blocks: BodyBlocks | undefined;
	#isEnded = false;

	constructor(memory: BodyMemory, opts: UploadOpts, handlers: UploadHandlers) {
		this.#memory = memory;
		this.#opts = opts;
		this.#handlers = handlers;
	}

	get endMs(): number {
		return this.#opts.endMs;
	}

	/** Reserves the announced length, before anything is read. Returns false if the body was refused. */
	start(announcedBytes: number | undefined): boolean {
		this.#announcedBytes = announcedBytes;
		if ((announcedBytes ?? 0) > this.#opts.limitBytes) {
			this.refuse('too-long');
		} else if ((announcedBytes ?? 0) > maxSmallBytes) {
			this.#startBlocks();
		}

		return !this.#isEnded;
	}

	add(chunk: Buffer): void {
		if (this.#isEnded) {
			return;
		}

		const size = (this.#piece?.length ?? 0) + (this.#blocks?.length ?? 0) + chunk.length;
		if (size > this.#opts.limitBytes) {
			this.refuse('too-long');
		} else if (this.#piece === undefined && this.#blocks === undefined) {
			this.#setPiece(chunk);
		} else {
			this.#addToBlocks(chunk);
		}
	}

	complete(): void {
		if (this.#isEnded) {
			return;
		}

		if (this.#blocks !== undefined && this.#blocks.length <= maxSmallBytes && !this.#mergeBlocks(this.#blocks)) {
			this.refuse('no-memory');
			return;
		}

		this.#isEnded = true;
		const holder = this.#pieceHolder;
		holder?.complete();
		this.#blocks?.complete();
		const body = this.#blocks ?? this.#piece ?? emptyBody;
		let isReleased = false;
		this.#handlers.onEnd({
			body,
			release() {
				if (!isReleased) {
					isReleased = true;
					holder?.close();
					releaseBody(body);
				}
			},
		});
	}

	/** Ends the reading and releases what was read. */
	refuse(problem: UploadProblem): void {
		if (!this.#isEnded) {
			this.#release();
			this.#handlers.onEnd({problem});
		}
	}

	/** Handles the end of the connection. */
	close(): void {
		if (!this.#isEnded) {
			this.#release();
			this.#handlers.onClose();
		}
	}

	#setPiece(chunk: Buffer): void {
		// A whole body is complete at once, so that it can't be evicted before.
		const holder = this.#memory.addHolder(chunk.length === this.#announcedBytes ? {} : this.#createHolderOpts());
		if (holder.acquire(chunk.length, this.#memory.readNowMs())) {
			this.#piece = chunk;
			this.#pieceHolder = holder;
		} else {
			this.refuse('no-memory');
		}
	}

	#addToBlocks(chunk: Buffer): void {
		if (this.#blocks === undefined && !this.#startBlocks()) {
			return;
		}

		const piece = this.#piece ?? emptyBody;
		this.#piece = undefined;
		this.#pieceHolder?.close();
		this.#pieceHolder = undefined;
		if (!this.#blocks!.add(piece) || !this.#blocks!.add(chunk)) {
			this.refuse('no-memory');
		}
	}

	#startBlocks(): boolean {
		this.#blocks = this.#memory.startBody(this.#createHolderOpts());
		if (this.#blocks === undefined) {
			this.refuse('no-memory');
		}

		return this.#blocks !== undefined;
	}

	/** Copies a small body that came in several pieces into one: only large bodies are passed on in blocks. Returns false without memory for it. */
	#mergeBlocks(blocks: BodyBlocks): boolean {
		const holder = this.#memory.addHolder({});
		if (!holder.acquire(blocks.length, this.#memory.readNowMs())) {
			return false;
		}

		this.#piece = Buffer.concat(blocks.listPieces());
		this.#pieceHolder = holder;
		this.#blocks = undefined;
		blocks.release();
		return true;
	}

	#createHolderOpts(): Parameters<BodyMemory['addHolder']>[0] {
		return {
			announcedBytes: this.#announcedBytes,
			endMs: this.#opts.endMs,
			evict: () => {
				this.refuse('no-memory');
			},
		};
	}

	#release(): void {
		this.#isEnded = true;
		this.#pieceHolder?.close();
		this.#blocks?.release();
		this.#piece = undefined;
		this.#blocks = undefined;
	}
}
