import {Buffer} from 'node:buffer';
import type {Body, BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import {AnswerMemoryLimit} from './answer-memory-limit.js';
import {
	createTooLongError, FixedLengthBody, CloseDelimitedBody, type BodyOpts, type BodyReader,
} from './body-reader.js';
import {ChunkedBody} from './chunked-body.js';
import {
	isInterim, parseHead, parseStatusLine, type ResponseHead,
} from './response-head.js';

/** A complete answer. */
export type ParsedResponse = {
	readonly status: number;
	/** Name, value, name, value, as received. */
	readonly headers: readonly string[];
	/** Released by the receiver of the answer if it is in blocks. */
	readonly body: Body;
	/** Whether the answer had a length. One that is delimited by the close of its connection may be truncated undetectably. */
	readonly isFramed: boolean;
	/** Whether the connection may carry another request. */
	readonly isKeptAlive: boolean;
	/** Idle timeout that the server states; undefined if it states none. */
	readonly maxIdleMs: number | undefined;
};

/** Limits of what is held of incomplete answers. */
export type ParserOpts = {
	/** Shared by the connections to one server; without one, each connection may hold one body. */
	readonly memoryLimit?: AnswerMemoryLimit;
	/** Large bodies are held in its blocks. */
	readonly memory?: BodyMemory | undefined;
	/** A longer body is treated as a fault of the server. */
	readonly maxBodyBytes?: number;
};

const defaultMaxBodyBytes = 16 * 1024 * 1024;

/** Limit for the head of an answer, including the heads of interim answers before it. */
const maxHeadBytes = 64 * 1024;

const headEnd = Buffer.from('\r\n\r\n');
const lineEnd = Buffer.from('\r\n');
const lineFeed = 0x0A;
const versionPrefix = 'HTTP/1.';

/** Parses the bytes of one connection into answers. Throws if they are none by the grammar of RFC 9112; the connection can't be read further then. */
export class ResponseParser {
	readonly #bodyOpts: BodyOpts;
	#bytes: Buffer = Buffer.alloc(0);
	#head: ResponseHead | undefined;
	#body: BodyReader | undefined;
	/** Length of the heads read so far for the present answer. */
	#headBytes = 0;

	constructor({memory, maxBodyBytes = defaultMaxBodyBytes, memoryLimit = new AnswerMemoryLimit(maxBodyBytes)}: ParserOpts = {}) {
		this.#bodyOpts = {memoryLimit, memory, maxBodyBytes};
	}

	/** Whether bytes of an incomplete or a surplus answer are buffered. */
	get hasBufferedBytes(): boolean {
		return this.#bytes.length > 0 || this.#head !== undefined;
	}

	/** Whether the regular end of the connection would complete an answer. */
	get isCompleteAtEnd(): boolean {
		return this.#head !== undefined && this.#body?.isCompleteAtEnd() === true;
	}

	/** Adds bytes and returns the next answer if it is complete. Without `chunk`, only the buffered bytes are parsed. */
	read(chunk: Buffer | undefined, method: string): ParsedResponse | undefined {
		if (chunk !== undefined) {
			this.#bytes = this.#bytes.length === 0 ? chunk : Buffer.concat([this.#bytes, chunk]);
		}

		while (this.#head === undefined) {
			const head = this.#readHead(method);
			if (head === undefined) {
				return undefined;
			}

			// Interim answers (1xx) are skipped.
			if (!isInterim(head.status)) {
				this.#head = head;
				this.#body = createBodyReader(head, this.#bodyOpts);
			}
		}

		return this.#readBody(this.#head, this.#body!);
	}

	/** Returns the answer that the regular end of the connection completes; undefined if there is none. */
	completeAtEnd(): ParsedResponse | undefined {
		return this.#head !== undefined && this.#body?.isCompleteAtEnd() === true ? this.#complete(this.#head, this.#body) : undefined;
	}

	/** Discards what was read of an incomplete answer. */
	close(): void {
		this.#body?.close();
		this.#body = undefined;
	}

	#readHead(method: string): ResponseHead | undefined {
		const end = this.#bytes.indexOf(headEnd);
		const length = end === -1 ? this.#bytes.length : end + headEnd.length;
		if (this.#headBytes + length > maxHeadBytes) {
			throw new Error('the head of the answer exceeds the maximum length');
		}

		if (end === -1) {
			checkIncompleteHead(this.#bytes);
			return undefined;
		}

		const head = parseHead(this.#bytes.toString('latin1', 0, end), method);
		this.#headBytes += length;
		this.#bytes = this.#bytes.subarray(length);
		return head;
	}

	#readBody(head: ResponseHead, body: BodyReader): ParsedResponse | undefined {
		const {rest, isComplete} = body.read(this.#bytes);
		this.#bytes = rest;
		if (isComplete) {
			// Other bytes than a further answer belong to this one, whose length is wrong (RFC 9112, section 6.3).
			checkStart(rest);
		}

		return isComplete ? this.#complete(head, body) : undefined;
	}

	#complete(head: ResponseHead, body: BodyReader): ParsedResponse {
		this.#head = undefined;
		this.#body = undefined;
		this.#headBytes = 0;
		const isFramed = head.framing.kind !== 'close';
		return {
			status: head.status, headers: head.headers, body: body.complete(), isFramed, isKeptAlive: head.isKeptAlive && isFramed, maxIdleMs: head.maxIdleMs,
		};
	}
}

function createBodyReader({framing}: ResponseHead, opts: BodyOpts): BodyReader {
	switch (framing.kind) {
		case 'chunked': {
			return new ChunkedBody(opts);
		}

		case 'close': {
			return new CloseDelimitedBody(opts);
		}

		case 'length': {
			if (framing.length > opts.maxBodyBytes) {
				throw createTooLongError(opts.maxBodyBytes);
			}

			return new FixedLengthBody(framing.length, opts);
		}

		case 'none': {
			return new FixedLengthBody(0, opts);
		}
	}
}

/** Throws if the bytes can't be the start of an answer. */
function checkStart(bytes: Buffer): void {
	const start = bytes.toString('latin1', 0, Math.min(bytes.length, versionPrefix.length));
	if (!versionPrefix.startsWith(start)) {
		throw new Error('the received bytes are not an HTTP/1.1 answer');
	}
}

/** Throws if the bytes that were received so far can't be the start of an answer, so that nobody waits for the rest of a broken one. */
function checkIncompleteHead(bytes: Buffer): void {
	checkStart(bytes);
	const length = bytes.indexOf(lineEnd);
	if (length !== -1) {
		parseStatusLine(bytes.toString('latin1', 0, length));
	}

	const lastLine = bytes.lastIndexOf(lineEnd);
	if (bytes.includes(lineFeed, lastLine === -1 ? 0 : lastLine + lineEnd.length)) {
		throw new Error('a line of the answer does not end with CR and LF');
	}
}
