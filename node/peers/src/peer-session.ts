import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {BodyBlocks} from '@buckthornpoint/frames/body-blocks.js';

/** How long an answer is stored after it was written: a silent connection is detected and replaced within some 2 s. */
const answerRetentionMs = 3000;

/** Limit for the stored answers of a session. */
const maxStoredBytes = 4 * 1024 * 1024;

type StoredAnswer = {readonly bytes: Buffer; readonly storedMs: number};

/**
 * The calls received on one link of another node. They outlive the connection that they were received on: the other node may
 * resume the session on a new connection and get the answers that were lost with the old one.
 */
export class PeerSession {
	readonly #clock: Clock;
	/** Cancel functions of the running requests, by call id. */
	readonly #cancelByCall = new Map<number, () => void>();
	readonly #storedAnswers = new Map<number, StoredAnswer>();
	#storedBytes = 0;
	/** The highest call id received. Ids are sent in ascending order, so all calls up to this one were received. */
	#highestId = 0;
	#socket: Socket | undefined;
	/** Calls with lower ids may have been sent to an earlier process or session, and their state is unknown. */
	#firstId = Number.POSITIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get isConnected(): boolean {
		return this.#socket !== undefined;
	}

	/** Sets the connection. The previous one is destroyed, so that calls not yet read from it never start. */
	setSocket(socket: Socket): void {
		const earlier = this.#socket;
		if (earlier === socket) {
			return;
		}

		this.#socket = socket;
		earlier?.destroy();
	}

	/** Removes a closed connection. Returns whether it was the present one. */
	removeSocket(socket: Socket): boolean {
		const isPresent = this.#socket === socket;
		if (isPresent) {
			this.#socket = undefined;
		}

		return isPresent;
	}

	/** Records the start of the session: the link sends calls with lower ids on earlier connections only. */
	recordStart(nextId: number | undefined): void {
		this.#firstId = nextId ?? Number.POSITIVE_INFINITY;
	}

	/** Records a received call. */
	recordCall(id: number): void {
		this.#highestId = Math.max(this.#highestId, id);
	}

	/** Records a running request. */
	addRunning(id: number, cancel: () => void): void {
		this.#cancelByCall.set(id, cancel);
	}

	/** Sends the answer to a call and stores it for a possible resume. An answer with a body in blocks is not stored, as it would hold memory. */
	reply(id: number, bytes: Buffer, body?: BodyBlocks): void {
		this.#cancelByCall.delete(id);
		if (body === undefined) {
			this.#storeAnswer(id, bytes);
			this.#write(bytes);
			return;
		}

		if (this.#socket?.destroyed === false) {
			this.#socket.write(bytes);
			body.writeTo(this.#socket);
		}

		body.release();
	}

	/** Cancels one request. */
	cancel(id: number): void {
		const cancel = this.#cancelByCall.get(id);
		this.#cancelByCall.delete(id);
		cancel?.();
	}

	/** Cancels all requests. */
	cancelAll(): void {
		for (const id of this.#cancelByCall.keys()) {
			this.cancel(id);
		}
	}

	/**
	 * Resumes the calls that are still pending at the other node and cancels the others. Returns the resumed calls that neither
	 * run nor have a stored answer, and whether they may have been received.
	 */
	handleResume(ids: readonly number[]): ReadonlyArray<{readonly id: number; readonly hasCome: boolean}> {
		const pendingIds = new Set(ids);
		for (const id of [...this.#cancelByCall.keys()].filter(running => !pendingIds.has(running))) {
			this.cancel(id);
		}

		for (const id of ids) {
			const stored = this.#storedAnswers.get(id);
			if (stored !== undefined) {
				this.#write(stored.bytes);
			}
		}

		return ids.filter(id => !this.#cancelByCall.has(id) && !this.#storedAnswers.has(id)).map(id => ({id, hasCome: id < this.#firstId || id <= this.#highestId}));
	}

	#write(bytes: Buffer): void {
		if (this.#socket?.destroyed === false) {
			this.#socket.write(bytes);
		}
	}

	#storeAnswer(id: number, bytes: Buffer): void {
		const nowMs = this.#clock.readTimestamp().monotonicMs;
		this.#storedAnswers.set(id, {bytes, storedMs: nowMs});
		this.#storedBytes += bytes.length;
		// The map iterates in order of insertion, oldest first.
		for (const [oldest, {bytes: oldBytes, storedMs}] of this.#storedAnswers) {
			if (nowMs - storedMs < answerRetentionMs && this.#storedBytes <= maxStoredBytes) {
				return;
			}

			this.#storedAnswers.delete(oldest);
			this.#storedBytes -= oldBytes.length;
		}
	}
}
