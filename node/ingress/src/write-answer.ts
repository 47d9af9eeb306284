import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Outcome} from '@buckthornpoint/backend-link/outcome.js';
import type {CallerConnections} from './caller-connections.js';

/** A response to a caller. */
export type CallerAnswer = Omit<Extract<Outcome, {readonly kind: 'answer'}>, 'kind'>;

/** The connection and the response object that an answer is written to. */
export type AnswerTarget = {
	readonly socket: Socket;
	readonly response: ServerResponse;
	readonly connections: CallerConnections;
	/** Whether connections close after their last pending answer. */
	readonly isStopping: boolean;
};

const statusNoContent = 204;
const statusNotModified = 304;

/** Writes an answer. Returns false and writes nothing if the answer can't be passed on. */
export function writeAnswer({status, headers, body, isFramed}: CallerAnswer, opts: AnswerTarget): boolean {
	const {socket, response, connections, isStopping} = opts;
	if (response.destroyed || response.headersSent) {
		return true;
	}

	const isLastAnswer = connections.isLastAnswer(socket);
	if (!isFramed && !isLastAnswer) {
		// An answer without a length ends with its connection, which would cut off the other pending answers.
		return false;
	}

	// An answer that came without a length is also delimited by the close of its connection here.
	const mustClose = !isFramed || (isStopping && isLastAnswer);
	const hasLength = isFramed && response.req.method !== 'HEAD' && status !== statusNoContent && status !== statusNotModified;
	response.useChunkedEncodingByDefault = false;
	try {
		response.writeHead(status, [
			...headers,
			...hasLength ? ['Content-Length', String(body.length)] : [],
			...mustClose ? ['Connection', 'close'] : [],
		]);
	} catch {
		// The headers contain characters that HTTP does not allow; the caller of this function reports it.
		return false;
	}

	if (mustClose) {
		connections.setEnding(socket);
	}

	response.end(body);
	return true;
}
