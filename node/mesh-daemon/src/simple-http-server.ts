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

/** Requests with a longer body are rejected. Heartbeats are a few kilobytes long. */
const maxBodyBytes = 1024 * 1024;

const statusTooLarge = 413;

/** An HTTP server for small requests, whose bodies are buffered: heartbeats, readiness checks and metrics. */
export class SimpleHttpServer {
	readonly #server: Server;

	constructor(handle: (call: SimpleHttpRequest) => SimpleHttpResponse | Promise<SimpleHttpResponse>) {
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
				const answer = bodyBytes > maxBodyBytes ? {status: statusTooLarge, body: ''} : handle({method: incoming.method ?? 'GET', path: incoming.url ?? '/', body});
				if (answer instanceof Promise) {
					void answer.then(value => {
						writeResponse(response, value);
					});
				} else {
					writeResponse(response, answer);
				}
			});
		});
	}

	/** Listens at `address`, which is `host:port`. */
	async listen(address: string): Promise<void> {
		const [host, port] = splitAddress(address);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
	}

	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

function writeResponse(response: ServerResponse, answer: SimpleHttpResponse): void {
	response.sendDate = false;
	response.writeHead(answer.status, ['Content-Type', answer.contentType ?? 'application/json', 'Content-Length', String(Buffer.byteLength(answer.body))]);
	response.end(answer.body);
}
