import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {CallerConnections} from './caller-connections.js';
import {runInLaterTurn} from './later-turn.js';
import {nodeStatuses} from './node-statuses.js';

const headTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/**
 * Handles an error of the HTTP parser, or a request head that was not complete in time. After a stall of the process, the rest of
 * the head may not have been read yet, as timers expire first: it is given two turns of the event loop. A part of a head is not enough.
 */
export function handleClientError(error: NodeJS.ErrnoException, socket: Duplex, connections: Pick<CallerConnections, 'countPending' | 'countRequests' | 'stopInput'>): void {
	if (error.code !== headTimeoutCode) {
		handleParserError(error, socket, connections);
		return;
	}

	const requests = connections.countRequests(socket);
	runInLaterTurn(() => {
		if (connections.countRequests(socket) === requests) {
			handleParserError(error, socket, connections);
		}
	});
}

/**
 * Ends the connection, after the answers that are due: earlier requests on it may be running. An answer to the invalid request is
 * written only if no other one is pending: otherwise its caller would take it for the answer of an earlier request.
 */
function handleParserError(error: NodeJS.ErrnoException, socket: Duplex, connections: Pick<CallerConnections, 'countPending' | 'stopInput'>): void {
	if (!socket.writable || socket.readableEnded || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	if (connections.countPending(socket) > 0) {
		connections.stopInput(socket as Socket); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		return;
	}

	socket.end(`HTTP/1.1 ${chooseStatus(error.code)} \r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, () => {
		socket.destroy();
	});
}

function chooseStatus(code: string | undefined): number {
	switch (code ?? '') {
		case 'HPE_HEADER_OVERFLOW': {
			return nodeStatuses.headersTooLarge;
		}

		case headTimeoutCode: {
			return nodeStatuses.requestTimeout;
		}

		default: {
			return nodeStatuses.badRequest;
		}
	}
}
