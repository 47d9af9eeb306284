import type {Socket} from 'node:net';
import {buildConnector} from 'undici';
import {CheckedSocket} from './checked-socket.js';
import type {ParserOpts} from './response-parser.js';

/** Options of the connections of an HTTP client. */
export type ConnectorOpts = ParserOpts & {
	/** How long to wait for a connection. */
	readonly timeoutMs?: number;
};

/** Creates the `connect` option of a pool or an agent of the HTTP library, with which it receives only answers that follow the grammar. */
export function createCheckedConnector({timeoutMs, ...parserOpts}: ConnectorOpts = {}): buildConnector.connector {
	const connect = buildConnector({allowHalfOpen: true, ...(timeoutMs !== undefined && {timeout: timeoutMs})});
	return (options, callback) => {
		connect(options, (...[error, socket]) => {
			if (error === null) {
				// The library uses the methods of a duplex stream, and `ref` and `unref`.
				callback(null, new CheckedSocket(socket, parserOpts).stream as unknown as Socket); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			} else {
				callback(error, null);
			}
		});
	};
}
