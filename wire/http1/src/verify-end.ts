import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';

/** A reset follows the end within a round trip. A server that neither reads nor resets for longer keeps its side open on purpose. */
const maxStallMs = 100;

const noBytes = Buffer.alloc(0);

/**
 * Checks whether a connection that the other side has ended was ended regularly. To be called on the event `end` of a socket with
 * `allowHalfOpen`; calls `finish` once, with an error if anything on the connection has failed.
 *
 * The event alone proves nothing. Node.js emits it also for a reset that arrives together with the last bytes, and after a failed
 * write, whose own error it reports later. An empty write fails if the connection was reset, and it completes only after the
 * writes before it. If these stall, since the server reads no further, the connection must still have its other side.
 */
export function verifyEnd(socket: Socket, finish: (error: Error | undefined) => void): void {
	let isFinished = false;
	const complete = (error: Error | undefined): void => {
		if (!isFinished) {
			isFinished = true;
			socket.setTimeout(0);
			finish(error);
		}
	};

	socket.write(noBytes, error => {
		complete(error ?? undefined);
	});
	socket.setTimeout(maxStallMs, () => {
		// The address of the other side is not known after a reset.
		complete(socket.remoteAddress === undefined ? new Error('the connection was reset') : undefined);
	});
}
