import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {selectAbandonedHeads, type IncompleteHead} from '@buckthornpoint/admission/incomplete-heads.js';
import {RequestFraming} from '@buckthornpoint/admission/request-framing.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';

/**
 * Limit for the bytes of all incomplete heads: 256 heads of the operator's usual limit of 16,384 bytes. The parser turns the bytes into
 * strings, which took about five times the bytes in lines of 9 bytes; a node then stays within the memory of the smallest VM.
 */
const maxIncompleteHeadBytes = 4 * 1024 * 1024;

type WatchedConnection = {readonly socket: Socket; readonly framing: RequestFraming; bytes: number; sinceMs: number};

type WatchedHead = IncompleteHead & {readonly connection: WatchedConnection};

/** What one read from a connection held. */
export type ReadResult = {
	/** Number of request heads that it completed. */
	readonly headCount: number;
	/** Whether the HTTP parser may get the bytes. Otherwise, the incomplete heads would exceed their limit. */
	readonly isAdmitted: boolean;
};

/** Dependencies of a head watch. */
export type HeadWatchOpts = {
	readonly clock: Clock;
	/** Whether a caller still has to get an answer on the connection to a request that was read. */
	readonly isAnswerDue: (socket: Socket) => boolean;
	/** Called with a connection whose incomplete head is given up. No answer is due on it. */
	readonly onAbandon: (socket: Socket) => void;
	readonly limitBytes?: number;
};

/** Bounds the sum of the incomplete request heads and trailers on the connections of callers: the HTTP parser holds up to 64 KiB of each. */
export class HeadWatch {
	readonly #opts: HeadWatchOpts;
	readonly #limitBytes: number;
	readonly #connections = new Map<Duplex, WatchedConnection>();
	/** Connections with an incomplete head, the one that has been incomplete for longest first. */
	readonly #incomplete = new Set<WatchedConnection>();
	#totalBytes = 0;

	constructor(opts: HeadWatchOpts) {
		this.#opts = opts;
		this.#limitBytes = opts.limitBytes ?? maxIncompleteHeadBytes;
	}

	/** Bytes of all incomplete heads that the HTTP parser holds. */
	get totalBytes(): number {
		return this.#totalBytes;
	}

	add(socket: Socket): void {
		this.#connections.set(socket, {
			socket, framing: new RequestFraming(), bytes: 0, sinceMs: 0,
		});
	}

	remove(socket: Duplex): void {
		const connection = this.#connections.get(socket);
		if (connection !== undefined) {
			this.#setBytes(connection, 0);
			this.#connections.delete(socket);
		}
	}

	/** Bytes of the incomplete head on the connection; 0 if none is. */
	countBytes(socket: Duplex): number {
		return this.#connections.get(socket)?.bytes ?? 0;
	}

	/** Counts bytes that were read from a connection, before the HTTP parser gets them. Beyond the limit, other heads are given up first. */
	read(socket: Socket, chunk: Buffer): ReadResult {
		const connection = this.#connections.get(socket);
		if (connection === undefined) {
			return {headCount: 0, isAdmitted: false};
		}

		const {framing, bytes: earlierBytes} = connection;
		const earlierCount = framing.headCount;
		framing.read(chunk);
		const headCount = framing.headCount - earlierCount;
		if (headCount > 0) {
			// Another head has been incomplete before.
			this.#setBytes(connection, 0);
		}

		this.#setBytes(connection, framing.sectionBytes);
		if (this.#totalBytes > this.#limitBytes) {
			this.#closeAbandoned();
		}

		if (this.#totalBytes <= this.#limitBytes || connection.bytes <= earlierBytes) {
			return {headCount, isAdmitted: this.#connections.has(socket)};
		}

		// Answers are due on all connections with incomplete heads. The parser keeps what it has of this one and gets no more.
		this.#setBytes(connection, earlierBytes);
		return {headCount, isAdmitted: false};
	}

	#setBytes(connection: WatchedConnection, bytes: number): void {
		this.#totalBytes += bytes - connection.bytes;
		if (connection.bytes === 0 && bytes > 0) {
			connection.sinceMs = this.#opts.clock.readTimestamp().monotonicMs;
			this.#incomplete.add(connection);
		} else if (bytes === 0) {
			this.#incomplete.delete(connection);
		}

		connection.bytes = bytes;
	}

	#closeAbandoned(): void {
		const heads: WatchedHead[] = [];
		let dueBytes = 0;
		for (const connection of this.#incomplete) {
			const {socket, bytes, sinceMs} = connection;
			if (this.#opts.isAnswerDue(socket)) {
				dueBytes += bytes;
			} else {
				heads.push({connection, bytes, sinceMs});
			}
		}

		for (const {connection} of selectAbandonedHeads(heads, this.#limitBytes - dueBytes)) {
			this.remove(connection.socket);
			this.#opts.onAbandon(connection.socket);
		}
	}
}
