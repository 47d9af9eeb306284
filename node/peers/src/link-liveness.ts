/** Tracks when data was last received on a connection to another node, and since when a pong is pending. */
export class LinkLiveness {
	#lastReceivedMs = 0;
	#pingSentMs: number | undefined;

	/** Time of the last liveness signal, on the node's clock. */
	get lastReceivedMs(): number {
		return this.#lastReceivedMs;
	}

	get isPongPending(): boolean {
		return this.#pingSentMs !== undefined;
	}

	/** Records a liveness signal, such as received data or a new connection. */
	recordReceived(nowMs: number): void {
		this.#lastReceivedMs = nowMs;
		this.#pingSentMs = undefined;
	}

	recordPing(nowMs: number): void {
		this.#pingSentMs ??= nowMs;
	}

	/** Whether nothing was received for the given time. */
	isIdle(nowMs: number, durationMs: number): boolean {
		return nowMs - this.#lastReceivedMs >= durationMs;
	}

	/** Whether a pong has been pending for the given time. */
	isPongOverdue(nowMs: number, durationMs: number): boolean {
		return this.#pingSentMs !== undefined && nowMs - this.#pingSentMs >= durationMs;
	}
}
