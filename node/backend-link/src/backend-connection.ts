import {Buffer} from 'node:buffer';
import {createConnection, type Socket} from 'node:net';
import type {BackendHeaders} from '@buckthornpoint/fleet/headers.js';
import {
	acquireBody, BodyBlocks, releaseBody, type Body, type BodyMemory,
} from '@buckthornpoint/frames/body-blocks.js';
import type {AnswerMemoryLimit} from '@buckthornpoint/http1/answer-memory-limit.js';
import {ResponseParser, type ParsedResponse} from '@buckthornpoint/http1/response-parser.js';
import {verifyEnd} from '@buckthornpoint/http1/verify-end.js';
import type {EvaluatedAnswer} from './classify-response.js';
import {encodeRequestHead} from './encode-request-head.js';

/** The result of one request on a connection. */
export type Exchange
	= | {readonly kind: 'answered'; readonly response: ParsedResponse; readonly fields: BackendHeaders}
		/** Nothing was sent. */
		| {readonly kind: 'not-sent'; readonly reason: string; readonly isRefused: boolean}
		/** The request was sent, and no complete answer was received. */
		| {readonly kind: 'lost'; readonly reason: string};

/** A request in the form in which it is written to the connection. */
export type BackendRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	/** Kept by the sender until the exchange has ended. */
	readonly body: Body;
};

/** Address of the backend server, and callbacks of a connection. */
export type BackendConnectionOpts = {
	readonly host: string;
	readonly port: number;
	/** Compares an answer with the pending request; an extra answer to an earlier request is dropped. */
	readonly evaluateAnswer: (response: ParsedResponse, requestId: string) => EvaluatedAnswer;
	/** Memory limit for incomplete answers, shared by the connections to the server. */
	readonly memoryLimit: AnswerMemoryLimit;
	/** The memory for the bodies of answers; without a limit by default. */
	readonly memory?: BodyMemory;
	/** Called when bytes in place of the answer to a request were no answer, with what was wrong. */
	readonly onInvalidAnswer?: (requestId: string, problem: string) => void;
	/** Called once, when the connection is closed. */
	readonly onClose: (connection: BackendConnection) => void;
};

type PendingRequest = {
	readonly requestId: string;
	readonly method: string;
	readonly finish: (exchange: Exchange) => void;
};

/** A server on the same VM accepts a connection immediately unless its accept queue is full. */
const connectTimeoutMs = 700;

/** Assumed idle timeout of a server that sends no Keep-Alive header with a timeout. */
const defaultIdleTimeoutMs = 5000;

/** Answers to other requests that are skipped before the expected one. A server that sends more is assumed never to stop. */
const maxMismatchedAnswers = 8;

/** Requests on one connection that were answered and may be sent again. With more, the connection is closed after the answer. */
const maxRepeatableRequests = 32;

/** An idle connection is not reused this close to the server's idle timeout: the server's close may be in transit. */
const idleTimeoutMarginMs = 1500;

/** One connection to the local backend server. It carries one request at a time. */
export class BackendConnection {
	readonly #opts: BackendConnectionOpts;
	readonly #socket: Socket;
	readonly #parser: ResponseParser;
	#pending: PendingRequest | undefined;
	#isConnected = false;
	#isClosed = false;
	#unsentRequest: BackendRequest | undefined;
	#idleTimeoutMs = defaultIdleTimeoutMs;
	#idleSinceMs = 0;
	#mismatchedAnswers = 0;
	#hasCarriedRequests = false;
	/** Ids of requests that were answered here and may be sent again. */
	readonly #repeatableIds = new Set<string>();

	constructor(opts: BackendConnectionOpts) {
		this.#opts = opts;
		this.#parser = new ResponseParser(opts);
		this.#socket = createConnection({
			host: opts.host, port: opts.port, noDelay: true, allowHalfOpen: true,
		});
		this.#socket.setTimeout(connectTimeoutMs, () => {
			this.#fail('the backend server did not accept the connection in time');
		});
		this.#socket.on('connect', () => {
			try {
				this.#handleConnect();
			} catch (error) {
				this.#fail(String(error));
			}
		});
		this.#socket.on('data', chunk => {
			this.#handleData(chunk);
		});
		this.#socket.on('end', () => {
			this.#handleEnd();
		});
		this.#socket.on('error', (error: NodeJS.ErrnoException) => {
			this.#fail(error.code ?? error.message, error.code === 'ECONNREFUSED');
		});
		this.#socket.on('close', () => {
			this.#fail('the connection was closed');
		});
	}

	/** Sends a request. The connection must be idle. */
	send(request: BackendRequest, requestId: string, finish: (exchange: Exchange) => void): void {
		this.#pending = {requestId, method: request.method, finish};
		if (this.#isConnected) {
			this.#write(request);
		} else {
			this.#unsentRequest = request;
			acquireBody(request.body);
		}
	}

	/** Whether the connection can carry another request now. */
	isUsable(nowMs: number): boolean {
		return !this.#isClosed && this.#pending === undefined && nowMs - this.#idleSinceMs < this.#idleTimeoutMs - idleTimeoutMarginMs;
	}

	/**
	 * Whether the connection can carry a request. One that was answered here before can't be sent here again: a second copy of that
	 * answer would look like the answer to the later sending, and a refusal would prove something false.
	 */
	mayCarry(requestId: string): boolean {
		return !this.#repeatableIds.has(requestId);
	}

	/** Records when the connection became idle. */
	recordIdle(nowMs: number): void {
		this.#idleSinceMs = nowMs;
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Closes the connection. If a request is still running on it, the server abandons that request. */
	close(): void {
		this.#fail('the node closed the connection');
	}

	#handleConnect(): void {
		this.#socket.setTimeout(0);
		this.#socket.removeAllListeners('timeout');
		this.#isConnected = true;
		if (this.#unsentRequest !== undefined) {
			this.#write(this.#unsentRequest);
			this.#releaseUnsent();
		}
	}

	#releaseUnsent(): void {
		releaseBody(this.#unsentRequest?.body);
		this.#unsentRequest = undefined;
	}

	#write(request: BackendRequest): void {
		const {body} = request;
		const head = encodeRequestHead(request);
		if (body instanceof BodyBlocks) {
			this.#socket.write(head);
			body.writeTo(this.#socket);
		} else {
			this.#socket.write(body.length === 0 ? head : Buffer.concat([head, body]));
		}
	}

	#handleData(chunk: Buffer): void {
		if (this.#pending === undefined) {
			this.#fail('received bytes while no request was pending');
			return;
		}

		try {
			const {method} = this.#pending;
			let response = this.#parser.read(chunk, method);
			while (response !== undefined && !this.#handleResponse(response)) {
				this.#recordMismatchedAnswer();
				response = this.#parser.read(undefined, method);
			}
		} catch (error) {
			this.#failInvalid(error);
		}
	}

	/** Completes the pending request if the answer belongs to it. Returns whether it does. */
	#handleResponse(response: ParsedResponse): boolean {
		const {requestId} = this.#pending!;
		const {match, fields} = this.#opts.evaluateAnswer(response, requestId);
		if (match === 'mismatched') {
			releaseBody(response.body);
			return false;
		}

		if (match === 'unidentified' && this.#hasCarriedRequests) {
			releaseBody(response.body);
			throw new Error('received an answer that names no request, on a connection that has carried several');
		}

		if (match !== 'final') {
			this.#repeatableIds.add(requestId);
		}

		this.#complete(response, fields);
		return true;
	}

	#recordMismatchedAnswer(): void {
		this.#mismatchedAnswers++;
		if (this.#mismatchedAnswers > maxMismatchedAnswers) {
			throw new Error('received too many answers that belong to no pending request');
		}
	}

	#complete(response: ParsedResponse, fields: BackendHeaders): void {
		const pending = this.#pending;
		this.#pending = undefined;
		this.#mismatchedAnswers = 0;
		this.#hasCarriedRequests = true;
		this.#idleTimeoutMs = response.maxIdleMs ?? this.#idleTimeoutMs;
		// A server that answers without reading the request may never read it, and the next one would wait behind its bytes.
		const isUnread = this.#socket.writableLength > 0;
		if (!response.isKeptAlive || isUnread || this.#parser.hasBufferedBytes || this.#repeatableIds.size >= maxRepeatableRequests) {
			this.#closeSocket();
		}

		pending?.finish({kind: 'answered', response, fields});
	}

	#handleEnd(): void {
		if (this.#pending === undefined || !this.#parser.isCompleteAtEnd) {
			this.#fail('the backend server ended the connection');
			return;
		}

		verifyEnd(this.#socket, error => {
			if (error === undefined) {
				this.#completeAtEnd();
			} else {
				this.#fail(`the connection failed before the end of the answer: ${error.message}`);
			}
		});
	}

	#completeAtEnd(): void {
		const response = this.#pending === undefined ? undefined : this.#parser.completeAtEnd();
		try {
			if (response !== undefined && this.#handleResponse(response)) {
				return;
			}

			this.#fail('the backend server ended the connection');
		} catch (error) {
			this.#failInvalid(error);
		}
	}

	#failInvalid(error: unknown): void {
		const problem = error instanceof Error ? error.message : String(error);
		if (this.#pending !== undefined) {
			this.#opts.onInvalidAnswer?.(this.#pending.requestId, problem);
		}

		this.#fail(problem);
	}

	#fail(reason: string, isRefused = false): void {
		const pending = this.#pending;
		const wasSent = this.#unsentRequest === undefined;
		this.#releaseUnsent();
		this.#pending = undefined;
		this.#closeSocket();
		pending?.finish(wasSent ? {kind: 'lost', reason} : {kind: 'not-sent', reason, isRefused});
	}

	#closeSocket(): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.#parser.close();
			this.#socket.destroy();
			this.#opts.onClose(this);
		}
	}
}
