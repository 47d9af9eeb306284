import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

const noBytes = Buffer.alloc(0);

/**
 * Checks whether a connection that the other side has ended was ended regularly. To be called on the event `end` of a socket with
 * `allowHalfOpen`; calls `finish` once, with an error if anything on the connection has failed.
 *
 * The event alone proves nothing. Node.js emits it also for a reset that arrives together with the last bytes, and after a failed
 * write, whose own error it reports later. An empty write fails if the connection was reset, and it completes only after the
 * writes before it.
 */
export function verifyEnd(socket: Socket, finish: (error: Error | undefined) => void): void {
	socket.write(noBytes, error => {
		finish(error ?? undefined);
	});
}
