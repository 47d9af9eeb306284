import {Buffer} from 'node:buffer';
import type {Body, BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import {AnswerMemoryLimit} from './answer-memory-limit.js';
import {
	ChunkedBody, maxBodyBytes, FixedLengthBody, CloseDelimitedBody, type BodyReader,
} from './body-reader.js';

/** A complete answer of a backend server. */
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

/** Limit for the head of an answer, including the heads of interim answers before it. */
const maxHeadBytes = 64 * 1024;

const headEnd = Buffer.from('\r\n\r\n');
const statusLine = /^HTTP\/1\.([01]) (\d{3})(?: |$)/v;
const headerName = /^[\w!#$%\u0026'*+\-.^`\|~]+$/v;
const headerValue = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;
const decimal = /^\d{1,15}$/v;
const msPerSecond = 1000;
const firstFinalStatus = 200;

type Head = {
	readonly status: number;
	readonly headers: readonly string[];
	readonly framing: 'length' | 'chunked' | 'close' | 'none';
	readonly length: number;
	readonly isKeptAlive: boolean;
	readonly maxIdleMs: number | undefined;
};

/** Parses the bytes of one connection into answers. Throws if they are not HTTP/1.1. */
export class ResponseParser {
	readonly #memoryLimit: AnswerMemoryLimit;
	readonly #memory: BodyMemory | undefined;
	#bytes: Buffer = Buffer.alloc(0);
	#head: Head | undefined;
	#body: BodyReader | undefined;
	/** Length of the heads read so far for the present answer. */
	#headBytes = 0;

	/** `memoryLimit` is shared by the connections to one server. With `memory`, large bodies are held in its blocks. */
	constructor(memoryLimit = new AnswerMemoryLimit(), memory?: BodyMemory) {
		this.#memory = memory;
		this.#memoryLimit = memoryLimit;
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
			if (head.status >= firstFinalStatus) {
				this.#head = head;
				this.#body = createBodyReader(head, this.#memoryLimit, this.#memory);
			}
		}

		return this.#readBody(this.#head, this.#body!);
	}

	/** Handles the regular end of the connection, or its failure after the answer. Returns the answer that is delimited by the end, if any. */
	close(): ParsedResponse | undefined {
		const response = this.#head !== undefined && this.#body?.isCompleteAtEnd() === true ? this.#complete(this.#head, this.#body) : undefined;
		this.#body?.close();
		this.#body = undefined;
		return response;
	}

	#readHead(method: string): Head | undefined {
		const end = this.#bytes.indexOf(headEnd);
		const length = end === -1 ? this.#bytes.length : end + headEnd.length;
		if (this.#headBytes + length > maxHeadBytes) {
			throw new Error('the head of the answer exceeds the maximum length');
		}

		if (end === -1) {
			checkStart(this.#bytes);
			return undefined;
		}

		const head = parseHead(this.#bytes.toString('latin1', 0, end), method);
		this.#headBytes += length;
		this.#bytes = this.#bytes.subarray(length);
		return head;
	}

	#readBody(head: Head, body: BodyReader): ParsedResponse | undefined {
		const {rest, isComplete} = body.read(this.#bytes);
		this.#bytes = rest;
		return isComplete ? this.#complete(head, body) : undefined;
	}

	#complete(head: Head, body: BodyReader): ParsedResponse {
		this.#head = undefined;
		this.#body = undefined;
		this.#headBytes = 0;
		return {
			status: head.status, headers: head.headers, body: body.complete(), isFramed: head.framing !== 'close', isKeptAlive: head.isKeptAlive && head.framing !== 'close', maxIdleMs: head.maxIdleMs,
		};
	}
}

function createBodyReader({framing, length}: Head, memoryLimit: AnswerMemoryLimit, memory: BodyMemory | undefined): BodyReader {
	switch (framing) {
		case 'chunked': {
			return new ChunkedBody(memoryLimit, memory);
		}

		case 'close': {
			return new CloseDelimitedBody(memoryLimit, memory);
		}

		case 'length':
		case 'none': {
			return new FixedLengthBody(length, memoryLimit, memory);
		}
	}
}

/** Throws early if the first bytes can't be the start of an answer. */
function checkStart(bytes: Buffer): void {
	const start = bytes.toString('latin1', 0, Math.min(bytes.length, 'HTTP/1.'.length));
	if (!'HTTP/1.'.startsWith(start)) {
		throw new Error('the received bytes are not an HTTP/1.1 answer');
	}
}

function parseHead(head: string, method: string): Head {
	const [first, ...lines] = head.split('\r\n');
	const match = statusLine.exec(first ?? '');
	if (match === null) {
		throw new Error('the status line is malformed');
	}

	const headers: string[] = [];
	const fields = new Map<string, string>();
	for (const line of lines) {
		const colon = line.indexOf(':');
		if (colon < 1) {
			throw new Error('a header line has no colon or no name');
		}

		const name = line.slice(0, colon);
		const value = line.slice(colon + 1).trim();
		if (!headerName.test(name) || !headerValue.test(value)) {
			throw new Error('a header contains invalid characters');
		}

		headers.push(name, value);
		fields.set(name.toLowerCase(), value);
	}

	const status = Number(match[2]);
	const connection = fields.get('connection')?.toLowerCase();
	return {
		status,
		headers,
		...chooseFraming(status, method, fields),
		isKeptAlive: match[1] === '1' ? connection !== 'close' : connection === 'keep-alive',
		maxIdleMs: parseMaxIdle(fields.get('keep-alive')),
	};
}

function chooseFraming(status: number, method: string, fields: ReadonlyMap<string, string>): Pick<Head, 'framing' | 'length'> {
	if (method === 'HEAD' || status < firstFinalStatus || status === 204 || status === 304) {
		return {framing: 'none', length: 0};
	}

	const encoding = fields.get('transfer-encoding');
	const length = fields.get('content-length');
	if (encoding !== undefined) {
		if (encoding.toLowerCase() !== 'chunked' || length !== undefined) {
			throw new Error('the answer has both a Transfer-Encoding and a Content-Length, or an unsupported Transfer-Encoding');
		}

		return {framing: 'chunked', length: 0};
	}

	if (length === undefined) {
		return {framing: 'close', length: 0};
	}

	if (!decimal.test(length) || Number(length) > maxBodyBytes) {
		throw new Error('the Content-Length of the answer is invalid or exceeds the maximum body length');
	}

	return {framing: 'length', length: Number(length)};
}

function parseMaxIdle(value: string | undefined): number | undefined {
	const seconds = /timeout=(\d+)/v.exec(value ?? '')?.[1];
	return seconds === undefined ? undefined : Number(seconds) * msPerSecond;
}
