import type {Socket} from 'node:net';
import type {Clock} from '@buckthornpoint/clock/clock.js';

/** Bytes of a refused body that are read and discarded, and for how long: closing with unread bytes would reset the connection and lose the answer. */
export const maxDrainedBytes = 256 * 1024;
const maxDrainMs = 1000;

/** Makes the HTTP server drain the connection, by a bounded amount, when it closes it after the last answer. */
export function drainBeforeClose(socket: Socket, clock: Clock): void {
	// The HTTP server calls this method once the last answer was written.
	socket.destroySoon = () => {
		let remainingBytes = maxDrainedBytes;
		const timer = clock.startTimer(maxDrainMs, () => {
			socket.destroy();
		});
		socket.once('close', () => {
			timer.close();
		});
		socket.once('end', () => {
			socket.destroy();
		});
		socket.on('data', (chunk: Uint8Array) => {
			remainingBytes -= chunk.length;
			if (remainingBytes < 0) {
				socket.destroy();
			}
		});
		socket.resume();
		socket.end();
	};
}
