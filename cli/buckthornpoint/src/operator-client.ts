import {
	changeAnswerCodec, createOperatorFailure, historyEntryCodec, keyExplanationCodec, operatorFailureCodec,
	type ChangeAnswer, type CommandRequest, type HistoryEntry, type KeyExplanation, type NoteRequest, type OperatorFailure,
} from '@buckthornpoint/configuration/operator-protocol.js';
import {toResult} from '@buckthornpoint/documents/either.js';
import {err, ok, type Result} from 'neverthrow';
import {array, Codec} from 'purify-ts';
import {request} from 'undici';
import type {OperatorSettings} from './operator-settings.js';
import {decodeStatusAnswer, type StatusAnswer} from './status-answer.js';

const requestTimeoutMs = 30_000;
const connectTimeoutMs = 2000;

type Call = {
	readonly method: 'GET' | 'POST';
	/** Path under `/v1/operator`. */
	readonly path: string;
	readonly body?: unknown;
};

type Decoder<T> = (body: unknown) => Result<T, string>;

/** Asks a node to carry out a release note. It may be sent again, since the node recognises the change by its id. */
export async function sendNote(settings: OperatorSettings, note: NoteRequest): Promise<Result<ChangeAnswer, OperatorFailure>> {
	return callNodes(settings, {method: 'POST', path: 'notes', body: note}, body => toResult(changeAnswerCodec.decode(body)));
}

/** Asks a node to carry out a command. It may be sent again. */
export async function sendCommand(settings: OperatorSettings, command: CommandRequest): Promise<Result<ChangeAnswer, OperatorFailure>> {
	return callNodes(settings, {method: 'POST', path: 'commands', body: command}, body => toResult(changeAnswerCodec.decode(body)));
}

/** Asks what a node knows of its cell. The controller knows most, so it is asked when it can be reached. */
export async function requestStatus(settings: OperatorSettings): Promise<Result<StatusAnswer, OperatorFailure>> {
	const first = await callNodes(settings, {method: 'GET', path: 'status'}, decodeStatusAnswer);
	const origin = first.isOk() && first.value.status.role !== 'controller' ? first.value.status.controllerOrigin : undefined;
	if (origin === undefined) {
		return first;
	}

	const fromController = await callNodes({...settings, nodes: [origin]}, {method: 'GET', path: 'status'}, decodeStatusAnswer);
	return fromController.isOk() ? fromController : first;
}

/** Returns settings that ask the controller first, when one is known. */
export async function withControllerFirst(settings: OperatorSettings): Promise<OperatorSettings> {
	const answer = await callNodes(settings, {method: 'GET', path: 'status'}, decodeStatusAnswer);
	const origin = answer.isOk() ? answer.value.status.controllerOrigin : undefined;
	return origin === undefined ? settings : {...settings, nodes: [origin, ...settings.nodes.filter(node => node !== origin)]};
}

/** Asks a node how many partitions it holds itself; undefined when it is not reached. */
export async function requestHeldCount(settings: OperatorSettings, origin: string): Promise<number | undefined> {
	const answer = await callNodes({...settings, nodes: [origin]}, {method: 'GET', path: 'status'}, decodeStatusAnswer);
	return answer.isOk() ? answer.value.status.grants.length : undefined;
}

/** Asks for the accepted versions, newest first. */
export async function requestHistory(settings: OperatorSettings, limit: number): Promise<Result<readonly HistoryEntry[], OperatorFailure>> {
	const codec = Codec.interface({entries: array(historyEntryCodec)});
	const answer = await callNodes(settings, {method: 'GET', path: `history?limit=${limit}`}, body => toResult(codec.decode(body)));
	return answer.map(({entries}) => entries);
}

/** Asks where a key lives; the owner is asked too, since it alone knows its grant. */
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
	let last: OperatorFailure = createOperatorFailure('ERR_PEER_UNREACHABLE', 'no node was asked');
	let mayHaveTakenEffect = false;
	for (const node of settings.nodes) {
		const answer = await callNode(node, settings.operatorKey, call);
		if (answer.isOk()) {
			return decodeAnswer(answer.value, decode);
		}

		mayHaveTakenEffect ||= answer.error.code === 'ERR_OUTCOME_UNKNOWN';
		last = answer.error;
	}

	return err(mayHaveTakenEffect ? {...last, code: 'ERR_OUTCOME_UNKNOWN'} : last);
}

type NodeAnswer = {
	readonly status: number;
	readonly body: unknown;
};

const statusOk = 200;
const statusUnavailable = 503;

/** Fails where another node may do better: the node is not reached, its answer was lost, or it does not reach the store. */
async function callNode(node: string, operatorKey: string, call: Call): Promise<Result<NodeAnswer, OperatorFailure>> {
	try {
		const response = await request(new URL(`/v1/operator/${call.path}`, node), {
			method: call.method,
			headers: {authorization: `Bearer ${operatorKey}`, 'content-type': 'application/json'},
			body: call.body === undefined ? undefined : JSON.stringify(call.body),
			headersTimeout: requestTimeoutMs,
			bodyTimeout: connectTimeoutMs,
		});
		const body: unknown = await response.body.json();
		return response.statusCode === statusUnavailable
			? err(toResult(operatorFailureCodec.decode(body)).unwrapOr(createOperatorFailure('ERR_PEER_UNREACHABLE', `${node} answered ${statusUnavailable}`)))
			: ok({status: response.statusCode, body});
	} catch (error) {
		const isRefused = error instanceof Error && 'code' in error && ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'ENETUNREACH', 'EHOSTUNREACH'].includes(String(error.code));
		return err(call.method === 'GET' || isRefused
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
