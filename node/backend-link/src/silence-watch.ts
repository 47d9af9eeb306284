/** Requests in a row that ran into their deadline without any sign of the server. */
const maxTimeouts = 4;

/** How often a silent server is tried, in milliseconds. */
const silentTryMs = 500;

/** Tells when a backend server has fallen silent, so that requests do not wait for it one after the other. */
export class SilenceWatch {
	#timeouts = 0;
	#lastTryMs = Number.NEGATIVE_INFINITY;

	/** Takes note of a request without an answer at its end. */
	noteTimeout(): void {
		this.#timeouts++;
	}

	/** Takes note of any sign of life. */
	noteAlive(): void {
		this.#timeouts = 0;
	}

	/** Tells whether a request may be sent now; a silent server gets one now and then. */
	mayTry(nowMs: number): boolean {
		if (this.#timeouts < maxTimeouts) {
			return true;
		}

		if (nowMs - this.#lastTryMs < silentTryMs) {
			return false;
		}

		this.#lastTryMs = nowMs;
		return true;
	}
}
