import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {splitAddress} from '@buckthornpoint/peers/split-address.js';

/** A small call and its whole body. */
export type PlainCall = {
	readonly method: string;
	readonly path: string;
	readonly body: string;
};

/** The answer to a small call. */
export type PlainAnswer = {
	readonly status: number;
	readonly body: string;
	readonly contentType?: string;
};

/** Bodies longer than this, in bytes, are cut off: heartbeats have some kilobytes. */
const maxBodyBytes = 1024 * 1024;

const statusTooLarge = 413;

/** Serves small calls. */
export class PlainServer {
	readonly #server: Server;

	constructor(handle: (call: PlainCall) => PlainAnswer | Promise<PlainAnswer>) {
		this.#server = createServer({noDelay: true}, (incoming, response) => {
			const chunks: Buffer[] = [];
			let size = 0;
			incoming.on('data', (chunk: Buffer) => {
				size += chunk.length;
				if (size <= maxBodyBytes) {
					chunks.push(chunk);
				}
			});
			incoming.on('end', () => {
				const body = chunks.map(chunk => chunk.toString('utf8')).join('');
				const answer = size > maxBodyBytes ? {status: statusTooLarge, body: ''} : handle({method: incoming.method ?? 'GET', path: incoming.url ?? '/', body});
				if (answer instanceof Promise) {
					void answer.then(value => {
						writeAnswer(response, value);
					});
				} else {
					writeAnswer(response, answer);
				}
			});
		});
	}

	/** `address` is host and port. */
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

function writeAnswer(response: ServerResponse, answer: PlainAnswer): void {
	response.sendDate = false;
	response.writeHead(answer.status, ['Content-Type', answer.contentType ?? 'application/json', 'Content-Length', String(Buffer.byteLength(answer.body))]);
	response.end(answer.body);
}
