/** No process listens at the server's address if at least this many connections were refused, over at least this time, without a liveness signal in between. */
const minRefusedConnections = 3;
const minRefusedMs = 250;

/** Concludes from repeatedly refused connections that the server has ended. A server that has run out of connections may briefly refuse some, too. */
export class RefusedConnections {
	#count = 0;
	#sinceMs = 0;

	/** Records a refused connection. Returns whether the server has ended. */
	record(nowMs: number): boolean {
		this.#sinceMs = this.#count === 0 ? nowMs : this.#sinceMs;
		this.#count++;
		const hasEnded = this.#count >= minRefusedConnections && nowMs - this.#sinceMs >= minRefusedMs;
		if (hasEnded) {
			this.#count = 0;
		}

		return hasEnded;
	}

	/** Records a liveness signal. */
	recordLiveness(): void {
		this.#count = 0;
	}
}
