/** What the stand-in counted since it was created; it outlives a restart of the server that it plays. */
export type BackendServerCounts = {
	readonly started: number;
	readonly finished: number;
	/** Requests whose work ended early because nobody waited any longer. */
	readonly cancelled: number;
	readonly refused: number;
	/** Times that a request began while the server was cold and already had all that it bore. */
	readonly coldOverruns: number;
	/** The most requests that ran at once. */
	readonly mostRunning: number;
};

/** Counts how often each request ran. */
export class RunLog {
	readonly #runs = new Map<string, number>();
	#started = 0;
	#finished = 0;
	#cancelled = 0;
	#refused = 0;
	#mostRunning = 0;

	/** Returns how often the request ran. */
	countRuns(requestId: string): number {
		return this.#runs.get(requestId) ?? 0;
	}

	/** Returns the runs of all requests, by request id. */
	listRuns(): ReadonlyMap<string, number> {
		return this.#runs;
	}

	/** Returns all counts. */
	readCounts(coldOverruns: number): BackendServerCounts {
		return {
			started: this.#started, finished: this.#finished, cancelled: this.#cancelled, refused: this.#refused, coldOverruns, mostRunning: this.#mostRunning,
		};
	}

	/** Notes that a request began, and how many run with it. */
	noteStarted(requestId: string, running: number): void {
		this.#started++;
		this.#mostRunning = Math.max(this.#mostRunning, running);
		this.#runs.set(requestId, this.countRuns(requestId) + 1);
	}

	/** Notes that a request's work ended, in full or early. */
	noteEnded(isWhole: boolean): void {
		if (isWhole) {
			this.#finished++;
		} else {
			this.#cancelled++;
		}
	}

	/** Notes that a request was refused before it began. */
	noteRefused(): void {
		this.#refused++;
	}
}
