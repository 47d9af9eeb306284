import {create} from '@bufbuild/protobuf';
import {
	AnswerSchema, FailureSchema, FindOutcomeRequestSchema, FindOutcomeResponseSchema, ForwardRequestSchema, ForwardResponseSchema,
	type FindOutcomeRequest, type FindOutcomeResponse, type ForwardRequest, type ForwardResponse,
} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import type {OutcomeQuery, OutcomeReport} from '@buckthornpoint/guard/outcome-query.js';
import type {RequestClass} from '@buckthornpoint/types/configuration.js';
import {
	createNotRunFailure, createOutcomeUnknownFailure, type FailureReason, type Header, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import {err, ok, type Result} from 'neverthrow';

/** Encodes a request to be sent to another node. */
export function encodeRequest(routed: RoutedRequest): ForwardRequest {
	return create(ForwardRequestSchema, {
		...routed,
		headers: encodeHeaders(routed.headers),
		remainingMs: Math.max(0, Math.floor(routed.remainingMs)),
		bodyLength: routed.body.length,
		targetVmId: routed.target.vmId,
		targetIncarnation: routed.target.incarnation,
	});
}

/** Decodes a request. A body of the wrong length is a `not-run` failure. */
export function decodeRequest(message: ForwardRequest): Result<RoutedRequest, RequestResult> {
	if (message.body.length !== message.bodyLength) {
		return err(createNotRunFailure(message.requestId, 'body-cut-short', 'the body of the request was cut short between two nodes'));
	}

	return ok({
		requestId: message.requestId,
		attempt: message.attempt,
		isProvedNew: message.isProvedNew,
		service: message.service,
		key: message.key,
		partition: message.partition,
		tenant: message.tenant,
		idempotent: message.idempotent,
		requestClass: message.requestClass as RequestClass, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		remainingMs: message.remainingMs,
		method: message.method,
		path: message.path,
		headers: decodeHeaders(message.headers),
		body: message.body,
		target: {vmId: message.targetVmId, incarnation: message.targetIncarnation},
	});
}

/** Encodes the result of a request. */
export function encodeResult(result: RequestResult): ForwardResponse {
	if (result.kind === 'failure') {
		return create(ForwardResponseSchema, {
			requestId: result.requestId,
			result: {
				case: 'failure', value: create(FailureSchema, {
					outcome: result.outcome, reason: result.reason, message: result.message, retryAfterMs: result.retryAfterMs,
				}),
			},
		});
	}

	return create(ForwardResponseSchema, {
		requestId: result.requestId,
		result: {
			case: 'answer', value: create(AnswerSchema, {
				status: result.status,
				headers: encodeHeaders(result.headers),
				body: result.body,
				bodyLength: result.body.length,
				fence: result.fence === undefined ? undefined : {epoch: BigInt(result.fence.epoch), counter: BigInt(result.fence.counter)},
			}),
		},
	});
}

/** Decodes the result of a request. An answer to another request or a truncated answer becomes an unknown outcome. */
export function decodeResult(requestId: string, message: ForwardResponse): RequestResult {
	if (message.requestId !== requestId) {
		return createOutcomeUnknownFailure(requestId, 'lost-answer', 'a node answered another request');
	}

	if (message.result.case === 'failure') {
		const {outcome, reason, message: text, retryAfterMs} = message.result.value;
		return outcome === 'not-run'
			? createNotRunFailure(requestId, reason as FailureReason, text, retryAfterMs) // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			: createOutcomeUnknownFailure(requestId, reason as FailureReason, text); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	}

	const answer = message.result.value;
	if (answer === undefined || answer.body.length !== answer.bodyLength) {
		return createOutcomeUnknownFailure(requestId, 'lost-answer', 'an answer was cut short between two nodes');
	}

	return {
		kind: 'answer',
		requestId,
		status: answer.status,
		headers: decodeHeaders(answer.headers),
		body: answer.body,
		fence: answer.fence === undefined ? undefined : {epoch: Number(answer.fence.epoch), counter: Number(answer.fence.counter)},
	};
}

export function encodeOutcomeQuery(query: OutcomeQuery): FindOutcomeRequest {
	const {partition, ...others} = query;
	return create(FindOutcomeRequestSchema, {...others, ...partition});
}

export function decodeOutcomeQuery(message: FindOutcomeRequest): OutcomeQuery {
	const {requestId, service, partition, attempt, targetIncarnation, remainingHops} = message;
	return {
		requestId, partition: {service, partition}, attempt, targetIncarnation, remainingHops,
	};
}

export function encodeOutcomeReport(requestId: string, report: OutcomeReport): FindOutcomeResponse {
	return create(FindOutcomeResponseSchema, {
		requestId, state: report.state, result: report.state === 'finished' ? encodeResult(report.result) : undefined,
	});
}

/** Decodes an outcome report. An unrecognized state is treated as `unknown`. */
export function decodeOutcomeReport(requestId: string, message: FindOutcomeResponse): OutcomeReport {
	if (message.requestId !== requestId) {
		return {state: 'unknown'};
	}

	if (message.state === 'finished' && message.result !== undefined) {
		return {state: 'finished', result: decodeResult(requestId, message.result)};
	}

	return {state: message.state === 'never-seen' || message.state === 'running' ? message.state : 'unknown'};
}

function encodeHeaders(headers: readonly Header[]): Array<{name: string; value: string}> {
	return headers.map(([name, value]) => ({name, value}));
}

function decodeHeaders(headers: ReadonlyArray<{readonly name: string; readonly value: string}>): readonly Header[] {
	return headers.map((header): Header => [header.name, header.value]);
}
