import {readBackendHeaders} from '@buckthornpoint/fleet/headers.js';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';

/** What the health path of a backend server answered. */
export type HealthReport = {
	/** The server considers itself healthy and is not leaving. */
	readonly isReady: boolean;
	/** The server considers itself failing or leaving. A full one refuses the check without saying so. */
	readonly isUnfit: boolean;
	/** The instance that answered; undefined if it did not say. */
	readonly backendId: string | undefined;
	/** How long the server stays cold; undefined if it did not say. */
	readonly coldMs: number | undefined;
	readonly detail: string;
};

/** Asks a backend server for its state. */
export abstract class HealthCheck {
	/** Never rejects: without an answer, the report is that the server is not ready. */
	abstract query(path: string): Promise<HealthReport>;
}

/** A server with free slots answers within milliseconds; with the platform's limit for heartbeats, a stalled one is asked again soon. */
const timeoutMs = 1000;

const statusOk = 200;
const statusUnavailable = 503;

/** Calls the health path of the local backend server, on a connection of its own. */
export class HttpHealthCheck extends HealthCheck {
	readonly #origin: string;

	/** `address` is the host and port of the server. */
	constructor(address: string) {
		super();
		this.#origin = `http://${address}`;
	}

	async query(path: string): Promise<HealthReport> {
		try {
			const {statusCode, headers, body} = await sendRequest(new URL(path, this.#origin), {
				method: 'GET', reset: true, signal: AbortSignal.timeout(timeoutMs),
			});
			await body.dump();
			const {backendId, coldMs, isLeaving, isNotExecuted} = readBackendHeaders(statusCode, Object.entries(headers).flatMap(([name, value]) => [name, String(value)]));
			return {
				isReady: statusCode === statusOk && !isLeaving && !isNotExecuted,
				isUnfit: isLeaving || (statusCode === statusUnavailable && !isNotExecuted),
				backendId,
				coldMs,
				detail: `status ${statusCode}${isLeaving ? ', leaving' : ''}`,
			};
		} catch (error) {
			return {
				isReady: false, isUnfit: false, backendId: undefined, coldMs: undefined, detail: `no answer: ${error instanceof Error ? error.message : String(error)}`,
			};
		}
	}
}
