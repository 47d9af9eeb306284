import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {splitAddress} from '@buckthornpoint/peers/split-address.js';

/** A request with its complete body. */
export type SimpleHttpRequest = {
	readonly method: string;
	readonly path: string;
	readonly body: string;
};

/** A response to a `SimpleHttpRequest`. */
export type SimpleHttpResponse = {
	readonly status: number;
	readonly body: string;
	readonly contentType?: string;
};

/** Connections that may wait until the process accepts them, one in each turn of the event loop. */
const acceptQueueLength = 4096;

/** Requests with a longer body are rejected. Heartbeats are a few kilobytes long. */
const maxBodyBytes = 1024 * 1024;

const statusTooLarge = 413;
const statusInternalError = 500;

/** An HTTP server for small requests, whose bodies are buffered: heartbeats, readiness checks and metrics. */
export class SimpleHttpServer {
	readonly #server: Server;

	/** `onProblem` is called with an error that `handle` throws; the request is answered with status 500. */
	constructor(handle: (call: SimpleHttpRequest) => SimpleHttpResponse | Promise<SimpleHttpResponse>, onProblem?: (problem: string) => void) {
		const fail = (response: ServerResponse, error: unknown): void => {
			onProblem?.(`a call failed: ${error instanceof Error ? error.stack ?? error.message : String(error)}`);
			writeResponse(response, {status: statusInternalError, body: ''});
		};

		this.#server = createServer({noDelay: true}, (incoming, response) => {
			const chunks: Buffer[] = [];
			let bodyBytes = 0;
			incoming.on('data', (chunk: Buffer) => {
				bodyBytes += chunk.length;
				if (bodyBytes <= maxBodyBytes) {
					chunks.push(chunk);
				}
			});
			incoming.on('end', () => {
				const body = chunks.map(chunk => chunk.toString('utf8')).join('');
				try {
					const answer = bodyBytes > maxBodyBytes ? {status: statusTooLarge, body: ''} : handle({method: incoming.method ?? 'GET', path: incoming.url ?? '/', body});
					if (answer instanceof Promise) {
						answer.then(value => {
							writeResponse(response, value);
						}).catch((error: unknown) => {
							fail(response, error);
						});
					} else {
						writeResponse(response, answer);
					}
				} catch (error) {
					fail(response, error);
				}
			});
		});
	}

	/** Listens at `address`, which is `host:port`. */
	async listen(address: string): Promise<void> {
		const [host, port] = splitAddress(address);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({port, host, backlog: acceptQueueLength}, resolve);
		});
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

function writeResponse(response: ServerResponse, answer: SimpleHttpResponse): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	response.sendDate = false;
	response.writeHead(answer.status, ['Content-Type', answer.contentType ?? 'application/json', 'Content-Length', String(Buffer.byteLength(answer.body))]);
	response.end(answer.body);
}
