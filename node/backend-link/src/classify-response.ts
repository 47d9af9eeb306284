import {readBackendHeaders, selectForwardedAnswerHeaders} from '@buckthornpoint/fleet/headers.js';
import {createNotRun, type Outcome} from './outcome.js';
import type {ParsedResponse} from './response-parser.js';

/** The outcome derived from an answer of the backend server, and the state that the server reports with it. */
export type ClassifiedResponse = {
	readonly outcome: Outcome;
	/** How long the server stays cold; undefined if it does not report it. */
	readonly coldMs: number | undefined;
	/** Present execution time on the server's machine as a multiple of the usual one; undefined if the server does not report it. */
	readonly slowness: number | undefined;
	/** Requests per second that the server accepts from all nodes together; undefined if it advertises no limit. */
	readonly limitPerS: number | undefined;
	/** Whether the server states that it is leaving. */
	readonly isLeaving: boolean;
};

/** Retry-After for a refusal of the server that states none. */
const refusedRetryAfterMs = 200;

const statusMisdirected = 421;
const statusGatewayTimeout = 504;
const firstSuccessStatus = 200;
const firstRedirectStatus = 300;
const firstServerErrorStatus = 500;

/** Classifies a complete answer of the backend server. Only the server's explicit statement proves that it did not run a request. */
export function classifyResponse({
	status, headers, body, isFramed,
}: ParsedResponse): ClassifiedResponse {
	const fields = readBackendHeaders(status, headers);
	const {coldMs, limitPerS, isLeaving} = fields;
	const state = {
		coldMs, slowness: fields.load?.slowness, limitPerS, isLeaving,
	};
	if (fields.isNotExecuted) {
		return {...state, outcome: createNotRun(status === statusMisdirected ? 'not-held' : 'refused-by-backend', fields.retryAfterMs ?? refusedRetryAfterMs, true)};
	}

	const isSuccess = status >= firstSuccessStatus && status < firstRedirectStatus;
	if (fields.hasContentEncoding || (isSuccess && !fields.isSealed)) {
		return {...state, outcome: {kind: 'unknown', reason: 'garbled'}};
	}

	return {
		...state, outcome: {
			kind: 'answer', status, headers: selectForwardedAnswerHeaders(headers), body, isFramed,
		},
	};
}

/** Whether an answer belongs to the request: it has the request's id, or it has none and its status is not a success. */
export function isAnswerTo({status, headers}: ParsedResponse, requestId: string): boolean {
	const fields = readBackendHeaders(status, headers);
	return fields.requestId === requestId || (fields.requestId === undefined && status >= firstRedirectStatus);
}

/** Whether an outcome counts as a failure of the server. A 504 of the server does not: it means that the time was too short. */
export function isServerFailure(outcome: Outcome): boolean {
	return outcome.kind === 'answer'
		? outcome.status >= firstServerErrorStatus && outcome.status !== statusGatewayTimeout
		: outcome.reason !== 'cancelled';
}
