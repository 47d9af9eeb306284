import type {Buffer} from 'node:buffer';
import {createConnection, type Socket} from 'node:net';
import {splitAddress} from './split-address.js';

/** Callbacks for the events of a socket. Each gets the socket, since it may have been replaced by another one in the meantime. */
export type SocketHandlers = {
	readonly onConnect: (socket: Socket) => void;
	readonly onData: (socket: Socket, chunk: Buffer) => void;
	/** Called on each event that ends the connection; may be called more than once. */
	readonly onEnd: (socket: Socket, reason: string) => void;
};

/** Opens a connection to a host and port, given as `host:port`. */
export function openSocket(address: string, {onConnect, onData, onEnd}: SocketHandlers): Socket {
	const [host, port] = splitAddress(address);
	const socket = createConnection({host, port, noDelay: true});
	/** A connection whose bytes were not handled must not be used any further. */
	const handleOrDestroy = (handle: () => void): void => {
		try {
			handle();
		} catch (error) {
			socket.destroy(error instanceof Error ? error : new Error(String(error)));
		}
	};

	socket.on('connect', () => {
		handleOrDestroy(() => {
			onConnect(socket);
		});
	});
	socket.on('data', chunk => {
		handleOrDestroy(() => {
			onData(socket, chunk);
		});
	});
	for (const event of ['error', 'end', 'close'] as const) {
		socket.on(event, (error?: Error | boolean) => {
			onEnd(socket, error instanceof Error ? error.message : 'the other node closed the connection');
		});
	}

	return socket;
}
