import {type Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {formatResponse} from './format-response.js';
import {ResponseParser, type ParsedResponse, type ParserOpts} from './response-parser.js';
import {verifyEnd} from './verify-end.js';

/** The longest method of HTTP that matters here is `CONNECT`; a request begins with its method and a space. */
const maxMethodBytes = 16;
const space = 0x20;

/**
 * A connection for an HTTP library, which sends one request at a time on it. The library receives only complete answers that follow
 * the grammar, in their plainest form with a length; the connection fails if the server sends anything else. So what the library
 * would accept beyond the grammar, or take for the end of an answer, doesn't matter.
 */
export class CheckedSocket {
	/** The side of the library. It is closed with the socket. */
	readonly stream: Duplex;
	readonly #socket: Socket;
	readonly #parser: ResponseParser;
	/** Method of the request whose answer is pending; undefined if none is. */
	#method: string | undefined;
	#isClosed = false;
	/** Whether the library has read all that was passed on. */
	#isDrained = true;
	/** Whether the end of the connection is still to be passed on. */
	#isEnding = false;

	/** `socket` is connected and has `allowHalfOpen` set. */
	constructor(socket: Socket, opts: ParserOpts = {}) {
		this.#socket = socket;
		this.#parser = new ResponseParser(opts);
		this.stream = this.#createStream();
		socket.on('data', chunk => {
			this.#handleData(chunk);
		});
		socket.on('end', () => {
			this.#handleEnd();
		});
		socket.on('error', error => {
			this.#fail(new Error(`the connection failed: ${error.message}`, {cause: error}));
		});
		socket.on('close', () => {
			this.#fail(new Error('the connection was closed'));
		});
	}

	#createStream(): Duplex {
		const stream = new Duplex({
			read() {
				// Answers are passed on when they are complete.
			},
			write: (chunk: Buffer, _encoding, callback) => {
				this.#method ??= readMethod(chunk);
				this.#socket.write(chunk, callback);
			},
			final: callback => {
				this.#socket.end(() => {
					callback();
				});
			},
			destroy: (error, callback) => {
				this.#parser.close();
				this.#socket.destroy();
				callback(error);
			},
		});
		const read = stream.read.bind(stream);
		return Object.assign(stream, {
			ref: () => this.#socket.ref(),
			unref: () => this.#socket.unref(),
			read: (size?: number): unknown => {
				const chunk: unknown = read(size);
				if (chunk === null) {
					this.#handleDrained();
				}

				return chunk;
			},
		});
	}

	#handleData(chunk: Buffer): void {
		if (this.#method === undefined) {
			this.#close();
			return;
		}

		try {
			const response = this.#parser.read(chunk, this.#method);
			if (response !== undefined) {
				this.#deliver(response, this.#method);
			}
		} catch (error) {
			this.#fail(error instanceof Error ? error : new Error(String(error)));
		}
	}

	#handleEnd(): void {
		if (!this.#parser.isCompleteAtEnd) {
			this.#fail(new Error('the connection ended before its answer was complete'));
			return;
		}

		verifyEnd(this.#socket, error => {
			const response = error === undefined ? this.#parser.completeAtEnd() : undefined;
			if (response === undefined) {
				this.#fail(new Error('the connection failed before the end of the answer', {cause: error}));
			} else {
				this.#deliver(response, this.#method ?? '');
			}
		});
	}

	#deliver(response: ParsedResponse, method: string): void {
		this.#method = undefined;
		this.#isDrained = false;
		// Bytes of a request that the server has not read, or of a surplus answer, would spoil the next exchange.
		const isReusable = response.isKeptAlive && this.stream.writableLength === 0 && this.#socket.writableLength === 0 && !this.#parser.hasBufferedBytes;
		this.stream.push(formatResponse(response, {method, isReusable}));
		if (!isReusable) {
			// The library closes its side when it has read the answer, which says so.
			this.#isClosed = true;
			this.#socket.destroy();
		}
	}

	/** The library has read all that was passed on. It stops asking while the reader of a body is slow. */
	#handleDrained(): void {
		this.#isDrained = true;
		if (this.#isEnding) {
			setImmediate(() => {
				this.#closeReading();
			});
		}
	}

	#closeReading(): void {
		if (this.#isDrained && this.#isEnding) {
			this.#isEnding = false;
			this.stream.push(null);
		}
	}

	/** Fails the pending request, if there is one. */
	#fail(error: Error): void {
		if (this.#method === undefined) {
			this.#close();
		} else {
			this.stream.destroy(error);
		}
	}

	/** Closes the connection, for the library after the answer that it may still read: an end before would fail that answer. */
	#close(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#isEnding = true;
			this.#socket.destroy();
			this.#closeReading();
		}
	}
}

function readMethod(bytes: Buffer): string {
	const end = bytes.subarray(0, maxMethodBytes).indexOf(space);
	return bytes.toString('latin1', 0, Math.max(0, end));
}
