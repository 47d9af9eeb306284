import {readBackendHeaders, selectAnswerHeaders} from '@buckthornpoint/fleet/headers.js';
import {createNotRun, type Outcome} from './outcome.js';
import type {ParsedResponse} from './response-parser.js';

/** What an answer of the backend server says. */
export type JudgedResponse = {
	readonly outcome: Outcome;
	/** How long the server stays cold, in milliseconds, where it says so. */
	readonly coldMs: number | undefined;
	/** How long work takes on the server's machine at this moment; 1 is usual. Undefined where the server doesn't say. */
	readonly slowness: number | undefined;
};

/** When to come back after a refusal of the server that names no time, in milliseconds. */
const refusedRetryMs = 200;

const statusMisdirected = 421;
const statusDeadline = 504;
const firstSuccess = 200;
const afterSuccess = 300;
const firstServerFailure = 500;

/** Judges a whole answer of the backend server. Only the server's own word proves that it did not run a request. */
export function judgeResponse({
	status, headers, body, isFramed,
}: ParsedResponse): JudgedResponse {
	const fields = readBackendHeaders(status, headers);
	const {coldMs} = fields;
	const slowness = fields.load?.slowness;
	if (fields.isNotRun) {
		return {coldMs, slowness, outcome: createNotRun(status === statusMisdirected ? 'not-held' : 'refused-by-backend', fields.retryAfterMs ?? refusedRetryMs, true)};
	}

	const isSuccess = status >= firstSuccess && status < afterSuccess;
	if (fields.isEncoded || (isSuccess && !fields.isSealed)) {
		return {coldMs, slowness, outcome: {kind: 'unknown', reason: 'garbled'}};
	}

	return {
		coldMs, slowness, outcome: {
			kind: 'answer', status, headers: selectAnswerHeaders(headers), body, isFramed,
		},
	};
}

/** An answer that names another request is not ours. One that names none is ours only if it is a refusal or a failure. */
export function isAnswerTo({status, headers}: ParsedResponse, requestId: string): boolean {
	const fields = readBackendHeaders(status, headers);
	return fields.requestId === requestId || (fields.requestId === undefined && status >= afterSuccess);
}

/** Tells whether an outcome counts against the server. Its own 504 says that the time was short, not that it failed. */
export function isServerFailure(outcome: Outcome): boolean {
	return outcome.kind === 'answer'
		? outcome.status >= firstServerFailure && outcome.status !== statusDeadline
		: outcome.reason !== 'cancelled';
}
