/** Request counters since the stand-in was created; a simulated restart does not reset them. */
export type BackendServerCounts = {
	readonly started: number;
	readonly finished: number;
	/** Requests that ended early because the caller disconnected or the deadline passed. */
	readonly cancelled: number;
	readonly refused: number;
	/** How often a request started while the server was cold and at its current capacity. */
	readonly coldOverruns: number;
	/** Maximum number of concurrent requests. */
	readonly mostRunning: number;
};

/** Counts how often each request was executed, and how executions ended. */
export class RunCounter {
	readonly #runs = new Map<string, number>();
	#started = 0;
	#finished = 0;
	#cancelled = 0;
	#refused = 0;
	#mostRunning = 0;

	/** Returns how often the request was executed. */
	countRuns(requestId: string): number {
		return this.#runs.get(requestId) ?? 0;
	}

	/** Returns the number of executions of each request, by request id. */
	listRuns(): ReadonlyMap<string, number> {
		return this.#runs;
	}

	/** Returns all counters; `coldOverruns` is counted elsewhere and passed through. */
	readCounts(coldOverruns: number): BackendServerCounts {
		return {
			started: this.#started, finished: this.#finished, cancelled: this.#cancelled, refused: this.#refused, coldOverruns, mostRunning: this.#mostRunning,
		};
	}

	/** Records that a request started, and the number of concurrent requests including it. */
	recordStarted(requestId: string, running: number): void {
		this.#started++;
		this.#mostRunning = Math.max(this.#mostRunning, running);
		this.#runs.set(requestId, this.countRuns(requestId) + 1);
	}

	/** Records that the execution of a request ended, either finished or early. */
	recordEnded(isFinished: boolean): void {
		if (isFinished) {
			this.#finished++;
		} else {
			this.#cancelled++;
		}
	}

	/** Records that a request was refused before it started. */
	recordRefused(): void {
		this.#refused++;
	}
}
