import {
	changeAnswerCodec, createOperatorFailure, historyEntryCodec, keyExplanationCodec, operatorFailureCodec,
	type ChangeAnswer, type CommandRequest, type HistoryEntry, type KeyExplanation, type NoteRequest, type OperatorFailure,
} from '@buckthornpoint/configuration/operator-protocol.js';
import {toResult} from '@buckthornpoint/documents/either.js';
import {err, ok, type Result} from 'neverthrow';
import {array, Codec} from 'purify-ts';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';
import type {OperatorSettings} from './operator-settings.js';
import {decodeStatusAnswer, type StatusAnswer} from './status-answer.js';

const requestTimeoutMs = 30_000;
const bodyTimeoutMs = 2000;

type Call = {
	readonly method: 'GET' | 'POST';
	/** Path under `/v1/operator`. */
	readonly path: string;
	readonly body?: unknown;
};

type Decoder<T> = (body: unknown) => Result<T, string>;

/** Requests that a node apply a release note. The request may be sent again, since the node recognises the change by its id. */
export async function sendNote(settings: OperatorSettings, note: NoteRequest): Promise<Result<ChangeAnswer, OperatorFailure>> {
	return callNodes(settings, {method: 'POST', path: 'notes', body: note}, body => toResult(changeAnswerCodec.decode(body)));
}

/** Requests that a node apply a command. The request may be sent again, since the node recognises the change by its id. */
export async function sendCommand(settings: OperatorSettings, command: CommandRequest): Promise<Result<ChangeAnswer, OperatorFailure>> {
	return callNodes(settings, {method: 'POST', path: 'commands', body: command}, body => toResult(changeAnswerCodec.decode(body)));
}

/** Queries the status of the cell. Prefers the answer of the controller, which has the most complete view, if it can be reached. */
export async function requestStatus(settings: OperatorSettings): Promise<Result<StatusAnswer, OperatorFailure>> {
	const first = await callNodes(settings, {method: 'GET', path: 'status'}, decodeStatusAnswer);
	const origin = first.isOk() && first.value.status.role !== 'controller' ? first.value.status.controllerOrigin : undefined;
	if (origin === undefined) {
		return first;
	}

	const fromController = await callNodes({...settings, nodes: [origin]}, {method: 'GET', path: 'status'}, decodeStatusAnswer);
	return fromController.isOk() ? fromController : first;
}

/** Returns settings in which the controller is the first node, if one is known. */
export async function withControllerFirst(settings: OperatorSettings): Promise<OperatorSettings> {
	const answer = await callNodes(settings, {method: 'GET', path: 'status'}, decodeStatusAnswer);
	const origin = answer.isOk() ? answer.value.status.controllerOrigin : undefined;
	return origin === undefined ? settings : {...settings, nodes: [origin, ...settings.nodes.filter(node => node !== origin)]};
}

/** Queries how many partitions a node holds by its own account; undefined if the node cannot be reached. */
export async function requestHeldPartitionCount(settings: OperatorSettings, origin: string): Promise<number | undefined> {
	const answer = await callNodes({...settings, nodes: [origin]}, {method: 'GET', path: 'status'}, decodeStatusAnswer);
	return answer.isOk() ? answer.value.status.grants.length : undefined;
}

/** Queries the accepted versions, newest first. */
export async function requestHistory(settings: OperatorSettings, limit: number): Promise<Result<readonly HistoryEntry[], OperatorFailure>> {
	const codec = Codec.interface({entries: array(historyEntryCodec)});
	const answer = await callNodes(settings, {method: 'GET', path: `history?limit=${limit}`}, body => toResult(codec.decode(body)));
	return answer.map(({entries}) => entries);
}

/** Queries which VM owns a key, and why. Prefers the answer of the owner, since only the owner knows its grant. */
export async function requestExplanation(settings: OperatorSettings, service: string, key: string): Promise<Result<KeyExplanation, OperatorFailure>> {
	const call: Call = {method: 'GET', path: `explain?${new URLSearchParams({service, key}).toString()}`};
	const first = await callNodes(settings, call, body => toResult(keyExplanationCodec.decode(body)));
	const origin = first.isOk() && first.value.grant === undefined ? first.value.owner?.callerOrigin : undefined;
	if (origin === undefined) {
		return first;
	}

	const fromOwner = await callNodes({...settings, nodes: [origin]}, call, body => toResult(keyExplanationCodec.decode(body)));
	return fromOwner.isOk() ? fromOwner : first;
}

async function callNodes<T>(settings: OperatorSettings, call: Call, decode: Decoder<T>): Promise<Result<T, OperatorFailure>> {
	let lastFailure: OperatorFailure = createOperatorFailure('ERR_PEER_UNREACHABLE', 'no node was called');
	let mayHaveTakenEffect = false;
	for (const node of settings.nodes) {
		const answer = await callNode(node, settings.operatorKey, call);
		if (answer.isOk()) {
			return decodeAnswer(answer.value, decode);
		}

		mayHaveTakenEffect ||= answer.error.code === 'ERR_OUTCOME_UNKNOWN';
		lastFailure = answer.error;
	}

	return err(mayHaveTakenEffect ? {...lastFailure, code: 'ERR_OUTCOME_UNKNOWN'} : lastFailure);
}

type NodeAnswer = {
	readonly status: number;
	readonly body: unknown;
};

const statusOk = 200;
const statusUnavailable = 503;

/** Returns the answer of a node, or a failure if another node should be tried: the node cannot be reached, its answer was lost, or it cannot reach the store. */
async function callNode(node: string, operatorKey: string, call: Call): Promise<Result<NodeAnswer, OperatorFailure>> {
	try {
		const response = await sendRequest(new URL(`/v1/operator/${call.path}`, node), {
			method: call.method,
			headers: {authorization: `Bearer ${operatorKey}`, 'content-type': 'application/json'},
			body: call.body === undefined ? undefined : JSON.stringify(call.body),
			headersTimeout: requestTimeoutMs,
			bodyTimeout: bodyTimeoutMs,
		});
		const body: unknown = await response.body.json();
		return response.statusCode === statusUnavailable
			? err(toResult(operatorFailureCodec.decode(body)).unwrapOr(createOperatorFailure('ERR_PEER_UNREACHABLE', `${node} answered ${statusUnavailable}`)))
			: ok({status: response.statusCode, body});
	} catch (error) {
		const isUnreachable = error instanceof Error && 'code' in error && ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'ENETUNREACH', 'EHOSTUNREACH'].includes(String(error.code));
		return err(call.method === 'GET' || isUnreachable
			? createOperatorFailure('ERR_PEER_UNREACHABLE', `the node ${node} cannot be reached`)
			: createOperatorFailure('ERR_OUTCOME_UNKNOWN', `the answer of the node ${node} was lost; send the same change again or look at the history`));
	}
}

function decodeAnswer<T>(answer: NodeAnswer, decode: Decoder<T>): Result<T, OperatorFailure> {
	if (answer.status === statusOk) {
		return decode(answer.body).mapErr(message => createOperatorFailure('ERR_INTERNAL', `the node's answer cannot be read: ${message}`));
	}

	return err(toResult(operatorFailureCodec.decode(answer.body))
		.unwrapOr(createOperatorFailure('ERR_INTERNAL', `the node answered ${answer.status}`)));
}
