import type {Disruptions} from './disruptions.js';
import type {RequestEnd, RequestRecord, Violation} from './requests.js';
import {createAnswerBody, createRequestBody, deadlineMs} from './workload.js';

/** Disruptions excuse requests that start within this time after their end (`contact_s` of the platform's bounds). */
const contactTimeMs = 3000;

/** A connection may end without an answer within this time after the last byte of a request (`loss_slack_s`). */
const lossSlackMs = 200;

/** A request must be answered within this time after its time limit (rule CONFIG of the platform). */
const maxAnswerDelayMs = 500;

/** How long before its end the time limit counts as reached, as the node measures it from the arrival of the request. */
const deadlineSlackMs = 60;

/** Statuses that guarantee that the request was not executed. */
const notExecutedStatuses = new Set([408, 421, 429, 503]);
const nodeFailureStatuses = new Set([502, 504]);
const successStatuses = {from: 200, to: 299};

/** Finds the guarantees that were violated for a request, after it ended. Disruptions excuse a missing or late answer. */
export function checkRequest(record: RequestRecord, disruptions: readonly Disruptions[]): readonly Violation[] {
	const {request, end} = record;
	const isExcused = disruptions.some(list => hasExcuse(record, list));
	const problems: Array<readonly [Violation['rule'], string | undefined]> = [
		['twice', checkExecutionCount(record)],
		['refused-but-run', checkRefusal(record)],
		['wrong-answer', checkAnswer(record)],
		['changed-request', checkExecutedContents(record)],
		['lost', isExcused ? undefined : checkLoss(record)],
		['late', isExcused ? undefined : checkDelay(record)],
	];
	return problems.flatMap(([rule, message]) => message === undefined
		? []
		: [{
			rule, message, atMs: end?.atMs ?? request.startMs, requestId: request.id,
		}]);
}

function checkExecutionCount({request, runs}: RequestRecord): string | undefined {
	return !request.route.isIdempotent && runs.length > 1 ? `ran ${runs.length} times` : undefined;
}

function checkRefusal({request, end, runs}: RequestRecord): string | undefined {
	return end?.kind === 'answer' && notExecutedStatuses.has(end.status) && !request.route.isIdempotent && runs.length > 0
		? `was answered ${end.status} and ran`
		: undefined;
}

function checkAnswer({request, end, runs}: RequestRecord): string | undefined {
	if (end?.kind !== 'answer') {
		return undefined;
	}

	if (end.answeredId !== undefined && end.answeredId !== request.id) {
		return `got the answer to ${end.answeredId}`;
	}

	if (!isSuccess(end)) {
		return undefined;
	}

	const isComplete = end.isSealed && end.answeredId === request.id && end.body === createAnswerBody(request.id);
	const isServerAnswer = runs.some(run => run.end?.status === end.status);
	return isComplete && isServerAnswer ? undefined : `got ${end.body.length} bytes that are not the backend server's answer`;
}

function checkExecutedContents({request, runs}: RequestRecord): string | undefined {
	const body = createRequestBody(request);
	const path = `${request.route.prefix}${request.id}`;
	const isUnchanged = runs.every(({run}) => run.body === body && run.path === path && run.key === request.key
		&& run.service === request.route.service && run.callerService === request.callerService);
	return isUnchanged ? undefined : 'reached a backend server with other contents';
}

/** A request that was completely received must be answered, also during planned stops. */
function checkLoss({request, end, runs}: RequestRecord): string | undefined {
	if (end?.sentMs === undefined || end.atMs - request.startMs >= deadlineMs - deadlineSlackMs) {
		return undefined;
	}

	if (end.kind === 'broken' && (runs.length > 0 || end.atMs - end.sentMs > lossSlackMs)) {
		return `its connection ended ${Math.round(end.atMs - end.sentMs)} ms after it was sent (${end.problem}), with ${runs.length} runs`;
	}

	return end.kind === 'answer' && nodeFailureStatuses.has(end.status) && !end.isSealed
		? `was answered ${end.status} after ${Math.round(end.atMs - request.startMs)} ms, with ${runs.length} runs: ${end.body}`
		: undefined;
}

function checkDelay({request, end}: RequestRecord): string | undefined {
	return end === undefined || (end.sentMs !== undefined && end.atMs - end.sentMs > deadlineMs + maxAnswerDelayMs)
		? `had no answer ${Math.round((end?.atMs ?? Number.POSITIVE_INFINITY) - request.startMs)} ms after it began`
		: undefined;
}

/** Disruptions of the store excuse only requests with a key. A request that no server ran may have been at any node, so a disruption of any node excuses it. */
function hasExcuse({request, end, runs}: RequestRecord, disruptions: Disruptions): boolean {
	const nodes = new Set([request.entry, ...runs.map(run => run.node)]);
	return disruptions.hasOverlapping(
		target => target === 'store' ? request.key !== undefined : target === 'driver' || runs.length === 0 || nodes.has(target),
		request.startMs - contactTimeMs,
		end?.atMs ?? Number.POSITIVE_INFINITY,
	);
}

/** Returns whether a request was answered with a 2xx status. */
export function isSuccess(end: RequestEnd | undefined): boolean {
	return end?.kind === 'answer' && end.status >= successStatuses.from && end.status <= successStatuses.to;
}
