import {Agent, request as sendHttp, type IncomingMessage} from 'node:http';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {readBackendHeaders} from '@buckthornpoint/fleet/headers.js';
import {createCallerHeaders} from '@buckthornpoint/fleet-stand-in/stand-in-messages.js';
import type {Ledger} from './ledger.js';
import type {EndKind, RequestEnd, SentRequest} from './requests.js';
import {createRequestBody, deadlineMs, generateRequest} from './workload.js';

/** Options of a caller. */
export type CallerOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly ledger: Ledger;
	/** Number of the node that the caller sends to. */
	readonly entry: number;
	readonly callerService: string;
	readonly host: string;
	readonly port: number;
	/** Mean time between an answer and the next request. */
	readonly pauseMs: number;
};

/** How long a caller waits for an answer after the deadline of the request. */
const answerMarginMs = 1000;

/** Delay before the next request if the previous one got no answer, for example as the connection was refused. */
const reconnectDelayMs = 100;

/** A caller that sends one request at a time on a keep-alive connection. It doesn't check whether the node is ready. */
export class Caller {
	readonly #opts: CallerOpts;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 1});
	readonly #closed = new AbortController();
	#ended: Promise<void> = Promise.resolve();

	constructor(opts: CallerOpts) {
		this.#opts = opts;
	}

	start(): void {
		this.#ended = this.#run();
	}

	/** Sends no further requests and waits for the pending one. */
	async close(): Promise<void> {
		this.#closed.abort();
		await this.#ended;
		this.#agent.destroy();
	}

	async #run(): Promise<void> {
		const {clock, random, ledger, pauseMs} = this.#opts;
		while (!this.#closed.signal.aborted) {
			const request: SentRequest = {
				...generateRequest(random), entry: this.#opts.entry, callerService: this.#opts.callerService, startMs: this.#readNowMs(),
			};
			ledger.addRequest(request);
			const end = await this.#exchange(request);
			ledger.recordRequestEnd(request.id, end);
			await clock.sleep(end.kind === 'answer' ? 2 * pauseMs * random.generateFraction() : reconnectDelayMs, this.#closed.signal);
		}
	}

	async #exchange(sent: SentRequest): Promise<RequestEnd> {
		return new Promise(resolve => {
			let sentMs: number | undefined;
			const finish = (result: EndKind): void => {
				timer.close();
				resolve({...result, atMs: this.#readNowMs(), sentMs});
			};

			const call = sendHttp({
				agent: this.#agent,
				host: this.#opts.host,
				port: this.#opts.port,
				method: sent.route.isIdempotent ? 'GET' : 'POST',
				path: `${sent.route.prefix}${sent.id}`,
				headers: {host: sent.route.host, ...createCallerHeaders(sent.id, {deadlineMs, ...(sent.key !== undefined && {key: sent.key})})},
			}, response => {
				readAnswer(response, finish);
			});
			const timer = this.#opts.clock.startTimer(deadlineMs + answerMarginMs, () => {
				finish({kind: 'unanswered'});
				call.destroy();
			});
			call.on('finish', () => {
				sentMs = this.#readNowMs();
			});
			call.on('error', error => {
				finish({kind: 'broken', problem: error.message});
			});
			void this.#writeBody(call, sent);
		});
	}

	async #writeBody(call: ReturnType<typeof sendHttp>, sent: SentRequest): Promise<void> {
		const body = createRequestBody(sent);
		if (body === '') {
			call.end();
			return;
		}

		if (sent.isChunked) {
			call.setHeader('Transfer-Encoding', 'chunked');
		} else {
			call.setHeader('Content-Length', body.length);
		}

		const half = Math.floor(body.length / 2);
		if (sent.bodyPauseMs > 0) {
			call.write(body.slice(0, half));
			await this.#opts.clock.sleep(sent.bodyPauseMs);
			call.end(body.slice(half));
		} else {
			call.end(body);
		}
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}

function readAnswer(response: IncomingMessage, finish: (result: EndKind) => void): void {
	const chunks: string[] = [];
	response.setEncoding('utf8');
	response.on('data', (chunk: string) => {
		chunks.push(chunk);
	});
	response.on('error', error => {
		finish({kind: 'broken', problem: error.message});
	});
	response.on('end', () => {
		const status = response.statusCode ?? 0;
		const {requestId, isSealed} = readBackendHeaders(status, response.rawHeaders);
		finish({
			kind: 'answer', status, answeredId: requestId, isSealed, body: chunks.join(''),
		});
	});
}
