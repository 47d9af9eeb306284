import {readBackendHeaders, selectForwardedAnswerHeaders, type BackendHeaders} from '@buckthornpoint/fleet/headers.js';
import {releaseBody} from '@buckthornpoint/frames/body-blocks.js';
import type {ParsedResponse} from '@buckthornpoint/http1/response-parser.js';
import type {Exchange} from './backend-connection.js';
import {createNotRun, type Outcome} from './outcome.js';

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
}: ParsedResponse, fields: BackendHeaders): ClassifiedResponse {
	const {coldMs, limitPerS, isLeaving} = fields;
	const state = {
		coldMs, slowness: fields.load?.slowness, limitPerS, isLeaving,
	};
	if (fields.isNotExecuted) {
		return {...state, outcome: createNotRun(status === statusMisdirected ? 'not-held' : 'refused-by-backend', fields.retryAfterMs ?? refusedRetryAfterMs, true)};
	}

	if (isGarbled(status, fields)) {
		return {...state, outcome: {kind: 'unknown', reason: 'garbled'}};
	}

	return {
		...state, outcome: {
			kind: 'answer', status, headers: selectForwardedAnswerHeaders(headers), body, isFramed,
		},
	};
}

/** Releases the body of an answer that is not passed on. */
export function releaseUndelivered(exchange: Exchange, outcome: Outcome): void {
	if (exchange.kind === 'answered' && outcome.kind !== 'answer') {
		releaseBody(exchange.response.body);
	}
}

/**
 * How an answer on a connection relates to the request that awaits one:
 * - `mismatched`: it has another id, or it is a success without an id;
 * - `unidentified`: it has no id and may belong to any request that the connection carried;
 * - `final`: it answers the request;
 * - `repeatable`: it answers the request, which may be sent again after it.
 */
export type AnswerMatch = 'mismatched' | 'unidentified' | 'final' | 'repeatable';

/** The relation of an answer to the request that awaits one, and the platform's headers that it follows from. */
export type EvaluatedAnswer = {readonly match: AnswerMatch; readonly fields: BackendHeaders};

/** Compares an answer with the request that awaits one. */
export function evaluateAnswer({status, headers}: ParsedResponse, requestId: string): EvaluatedAnswer {
	const fields = readBackendHeaders(status, headers);
	return {match: evaluateMatch(status, fields, requestId), fields};
}

function evaluateMatch(status: number, fields: BackendHeaders, requestId: string): AnswerMatch {
	if (fields.requestId === undefined) {
		return status >= firstRedirectStatus ? 'unidentified' : 'mismatched';
	}

	if (fields.requestId !== requestId) {
		return 'mismatched';
	}

	return fields.isNotExecuted || isGarbled(status, fields) ? 'repeatable' : 'final';
}

function isGarbled(status: number, {hasContentEncoding, isSealed}: BackendHeaders): boolean {
	const isSuccess = status >= firstSuccessStatus && status < firstRedirectStatus;
	return hasContentEncoding || (isSuccess && !isSealed);
}

/** Whether an outcome counts as a failure of the server. A 504 of the server does not: it means that the time was too short. */
export function isServerFailure(outcome: Outcome): boolean {
	return outcome.kind === 'answer'
		? outcome.status >= firstServerErrorStatus && outcome.status !== statusGatewayTimeout
		: outcome.reason !== 'cancelled';
}
