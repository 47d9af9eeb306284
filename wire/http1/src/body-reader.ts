import {Buffer} from 'node:buffer';
import {maxSmallBytes} from '@buckthornpoint/admission/memory-budget.js';
import type {BodyBlocks, Body, BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {AnswerMemoryLimit} from './answer-memory-limit.js';

/** Where the bytes of a body are held, and how many at most. */
export type BodyOpts = {
	readonly memoryLimit: AnswerMemoryLimit;
	/** A body of several pieces is held in its blocks. */
	readonly memory: BodyMemory | undefined;
	readonly maxBodyBytes: number;
};

/** Collects the body of one answer. The lengths of bodies and lines are limited, since a faulty server may never stop sending. */
export abstract class BodyReader {
	readonly #opts: BodyOpts;
	#blocks: BodyBlocks | undefined;
	#bytes: Buffer = Buffer.alloc(0);
	#size = 0;

	constructor(opts: BodyOpts) {
		this.#opts = opts;
	}

	/** Whether the body is complete once the server has ended the connection without an error. */
	isCompleteAtEnd(): boolean {
		return false;
	}

	/** Returns the body and releases its reservation among the incomplete answers. A body in blocks is released by its receiver. */
	complete(): Body {
		const blocks = this.#blocks;
		if (blocks !== undefined && blocks.length > maxSmallBytes) {
			this.#blocks = undefined;
			this.close();
			blocks.complete();
			return blocks;
		}

		const body = blocks === undefined ? this.#bytes.subarray(0, this.#size) : Buffer.concat(blocks.listPieces());
		this.close();
		return body;
	}

	/** Discards the collected bytes. */
	close(): void {
		this.#blocks?.release();
		this.#blocks = undefined;
		this.#opts.memoryLimit.release(this.#size);
		this.#bytes = Buffer.alloc(0);
		this.#size = 0;
	}

	/** Consumes the bytes of the body. Returns the bytes after its end and whether it is complete. Throws if the bytes are invalid. */
	abstract read(bytes: Buffer): {readonly rest: Buffer; readonly isComplete: boolean};

	protected add(bytes: Buffer): void {
		if (bytes.length === 0) {
			return;
		}

		if (this.#size + bytes.length > this.#opts.maxBodyBytes) {
			throw createTooLongError(this.#opts.maxBodyBytes);
		}

		this.#opts.memoryLimit.acquire(bytes.length);
		if (this.#size === 0) {
			// Most bodies arrive in a single piece and are not copied.
			this.#bytes = bytes;
		} else if (this.#opts.memory === undefined) {
			this.#addCopy(bytes);
		} else {
			this.#addToBlocks(this.#opts.memory, bytes);
		}

		this.#size += bytes.length;
	}

	#addToBlocks(memory: BodyMemory, bytes: Buffer): void {
		const isFirst = this.#blocks === undefined;
		this.#blocks ??= memory.startBody({});
		if (this.#blocks === undefined || (isFirst && !this.#blocks.add(this.#bytes)) || !this.#blocks.add(bytes)) {
			throw new Error('the answer does not fit into the memory of the node');
		}

		this.#bytes = Buffer.alloc(0);
	}

	/** Doubles the capacity, so that the cost stays linear in the length of the body however small its pieces are. */
	#addCopy(bytes: Buffer): void {
		const size = this.#size + bytes.length;
		if (size > this.#bytes.length) {
			const larger = Buffer.allocUnsafe(Math.max(size, 2 * this.#size));
			larger.set(this.#bytes.subarray(0, this.#size));
			this.#bytes = larger;
		}

		this.#bytes.set(bytes, this.#size);
	}
}

/** A body with a Content-Length. */
export class FixedLengthBody extends BodyReader {
	#remainingBytes: number;

	constructor(length: number, opts: BodyOpts) {
		super(opts);
		this.#remainingBytes = length;
	}

	override read(bytes: Buffer): {readonly rest: Buffer; readonly isComplete: boolean} {
		const bodyBytes = bytes.subarray(0, this.#remainingBytes);
		this.add(bodyBytes);
		this.#remainingBytes -= bodyBytes.length;
		return {rest: bytes.subarray(bodyBytes.length), isComplete: this.#remainingBytes === 0};
	}
}

/** A body that is delimited by the close of its connection. */
export class CloseDelimitedBody extends BodyReader {
	override read(bytes: Buffer): {readonly rest: Buffer; readonly isComplete: boolean} {
		this.add(bytes);
		return {rest: bytes.subarray(bytes.length), isComplete: false};
	}

	override isCompleteAtEnd(): boolean {
		return true;
	}
}

/** Creates the error for a body beyond the limit. */
export function createTooLongError(maxBodyBytes: number): Error {
	return new Error(`the response is longer than ${maxBodyBytes} bytes`);
}
