import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {RandomSource} from '@buckthornpoint/clock/random.js';

/** A backend server that counts the executions of each request, refuses some requests and loses some answers. */
export class CountingBackend {
	readonly runs = new Map<string, number>();
	readonly #server: Server;

	constructor(random: RandomSource, faults: {readonly refusals: number; readonly lostAnswers: number}) {
		this.#server = createServer((request, response) => {
			const requestId = String(request.headers['buckthornpoint-request-id']);
			const fraction = random.generateFraction();
			if (fraction < faults.refusals) {
				response.writeHead(503, {'buckthornpoint-refused': 'overloaded'}).end();
				return;
			}

			this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
			if (fraction > 1 - faults.lostAnswers) {
				request.socket.destroy();
				return;
			}

			setTimeout(() => {
				response.writeHead(200, {'buckthornpoint-request-id': requestId}).end(requestId);
			}, random.generateIntegerBelow(4));
		});
	}

	/** Starts listening and returns the origin. */
	async open(): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	}

	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}
}
