/**
 * Requests of one connection without a delivered answer. Above it, the connection is closed: the refusals of further requests wait
 * behind the first answer, and each costs some 3 kB. Twice the number of requests that are under way on a connection.
 */
const maxPerConnection = 128;

/**
 * Requests of all connections that wait behind another one on their connection. With some 3 kB for each they hold 6 MB; ordinary
 * callers of one node send some tens of requests per second.
 */
const maxWaiting = 2048;

/** Bounds the requests that callers send before earlier ones on the same connection are answered. */
export class PipeliningLimit {
	#waitingCount = 0;

	/** Number of requests that wait behind another one on their connection. */
	get waitingCount(): number {
		return this.#waitingCount;
	}

	/** Whether `newCount` further requests may be read from a connection with `earlierCount` requests without an answer. */
	canAdmit(earlierCount: number, newCount: number): boolean {
		const newWaitingCount = Math.max(0, newCount - (earlierCount === 0 ? 1 : 0));
		return newWaitingCount === 0 || (earlierCount + newCount <= maxPerConnection && this.#waitingCount + newWaitingCount <= maxWaiting);
	}

	/** Counts a request on a connection with `earlierCount` requests without an answer. Returns false if the connection must be closed. */
	admit(earlierCount: number): boolean {
		if (earlierCount > 0) {
			this.#waitingCount++;
		}

		return earlierCount < maxPerConnection && this.#waitingCount <= maxWaiting;
	}

	/** Counts an answered request; `remainingCount` requests of its connection have no answer yet. */
	release(remainingCount: number): void {
		if (remainingCount > 0) {
			this.#waitingCount--;
		}
	}

	/** Counts the end of a connection with `pendingCount` requests without an answer. */
	releaseConnection(pendingCount: number): void {
		this.#waitingCount -= Math.max(0, pendingCount - 1);
	}
}
