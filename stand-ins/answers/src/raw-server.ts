import {createServer, type Socket} from 'node:net';

/** Answers the first bytes of each request on a connection. */
export type RawAnswer = (socket: Socket, request: string) => unknown;

/** A server that sends bytes as they are given. */
export type RawServer = {
	readonly port: number;
	close(): void;
};

/** Opens a server on loopback that calls `answer` for each piece of data that it receives. */
export async function openRawServer(answer: RawAnswer): Promise<RawServer> {
	const sockets = new Set<Socket>();
	const server = createServer({allowHalfOpen: true}, socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('end', () => {
			socket.end();
		});
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('data', chunk => {
			answer(socket, chunk.toString('latin1'));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	return {
		port: typeof address === 'object' ? address?.port ?? 0 : 0,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}
