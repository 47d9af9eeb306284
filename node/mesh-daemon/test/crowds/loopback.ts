import {once} from 'node:events';
import {request} from 'node:http';
import {createServer} from 'node:net';

/** A request on a connection of its own. */
export type SentRequest = {readonly method: string; readonly path: string; readonly headers: Readonly<Record<string, string>>; readonly body?: Uint8Array};

/** The status is 0 if the connection ended without a complete answer; `code` says how, if the system reported an error. */
export type ReceivedAnswer = {readonly status: number; readonly code?: string | undefined};

/** Sends a request on a connection of its own. */
export async function sendRequest(address: string, {method, path, headers, body}: SentRequest): Promise<ReceivedAnswer> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const call = request({
			host, port, method, path, headers, agent: false,
		}, response => {
			response.resume();
			response.on('close', () => {
				resolve({status: response.complete ? response.statusCode ?? 0 : 0});
			});
		});
		call.on('error', (error: NodeJS.ErrnoException) => {
			resolve({status: 0, code: error.code});
		});
		call.end(body);
	});
}

/** Finds a port of the loopback address that is free now. */
export async function findFreePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	server.close();
	return typeof address === 'object' && address !== null ? address.port : 0;
}
