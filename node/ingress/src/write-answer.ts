import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Outcome} from '@buckthornpoint/backend-link/outcome.js';
import {releaseBody} from '@buckthornpoint/frames/body-blocks.js';
import type {AnswerDeliveries} from './answer-deliveries.js';
import type {CallerConnections} from './caller-connections.js';

/** A response to a caller. */
export type CallerAnswer = Omit<Extract<Outcome, {readonly kind: 'answer'}>, 'kind'>;

/** The connection and the response object that an answer is written to. */
export type AnswerTarget = {
	readonly socket: Socket;
	readonly response: ServerResponse;
	readonly connections: CallerConnections;
	readonly deliveries: AnswerDeliveries;
	/** Whether connections close after their last pending answer. */
	readonly isStopping: boolean;
	/** Whether the connection closes after this answer. */
	readonly mustClose: boolean;
};

/** Final statuses (RFC 9110, section 15). A node of an earlier version passes on others as its server sent them. */
const firstFinalStatus = 200;
const lastStatus = 599;

const statusNoContent = 204;
const statusNotModified = 304;

/** Writes an answer. Returns false and writes nothing if the answer can't be passed on. */
export function writeAnswer({status, headers, body, isFramed}: CallerAnswer, opts: AnswerTarget): boolean {
	const {socket, response, connections, isStopping} = opts;
	if (response.destroyed || response.headersSent || socket.destroyed) {
		releaseBody(body);
		return true;
	}

	if (status < firstFinalStatus || status > lastStatus) {
		releaseBody(body);
		return false;
	}

	const isLastAnswer = connections.isLastAnswer(socket);
	if (!isFramed && !isLastAnswer) {
		releaseBody(body);
		// An answer without a length ends with its connection, which would cut off the other pending answers.
		return false;
	}

	// An answer that came without a length is also delimited by the close of its connection here.
	const mustClose = opts.mustClose || !isFramed || (isStopping && isLastAnswer);
	const hasLength = isFramed && response.req.method !== 'HEAD' && status !== statusNoContent && status !== statusNotModified;
	response.useChunkedEncodingByDefault = false;
	try {
		response.writeHead(status, [
			...headers,
			...hasLength ? ['Content-Length', String(body.length)] : [],
			...mustClose ? ['Connection', 'close'] : [],
		]);
	} catch {
		releaseBody(body);
		// The headers contain characters that HTTP does not allow; the caller of this function reports it.
		return false;
	}

	if (mustClose) {
		connections.setEnding(socket);
	}

	opts.deliveries.deliver(response, socket, body);
	return true;
}
