/** Behaviour of a backend server after its start. */
export type ColdStartOpts = {
	/** Concurrent requests that it handles at full speed right after its start. */
	readonly concurrency: number;
	/** Number of finished requests that raise its capacity by one. */
	readonly requestsPerStep: number;
	/** Factor by which a request takes longer if it starts while the server is over its capacity. */
	readonly slowdown: number;
};

/**
 * Models the capacity of a backend server, which is the number of concurrent requests that it handles at full speed. The
 * capacity is low after the start and grows with the requests that end while the server is within its capacity; requests
 * that end while it is over its capacity do not count.
 */
export class ColdStartModel {
	readonly #slots: number;
	readonly #opts: ColdStartOpts | undefined;
	#finished = 0;
	#overruns = 0;

	constructor(slots: number, opts: ColdStartOpts | undefined) {
		this.#slots = slots;
		this.#opts = opts;
	}

	/** Concurrent requests that the server currently handles at full speed. */
	get capacity(): number {
		if (this.#opts === undefined) {
			return this.#slots;
		}

		const {concurrency, requestsPerStep} = this.#opts;
		return Math.min(this.#slots, concurrency + Math.floor(this.#finished / requestsPerStep));
	}

	/** Whether the capacity is lower than the number of slots. */
	get isCold(): boolean {
		return this.capacity < this.#slots;
	}

	/** How often a request started while the server was cold and at its capacity. */
	get overruns(): number {
		return this.#overruns;
	}

	/** Records that a request started; `running` is the number of concurrent requests including it. */
	recordStarted(running: number): void {
		if (this.isCold && running > this.capacity) {
			this.#overruns++;
		}
	}

	/** Records that a request ended; `running` is the number of concurrent requests including it. */
	recordFinished(running: number): void {
		if (running <= this.capacity) {
			this.#finished++;
		}
	}

	/** Returns the factor by which a request takes longer with this number of concurrent requests. */
	measureSlowdown(running: number): number {
		return running > this.capacity ? this.#opts?.slowdown ?? 1 : 1;
	}

	/** Makes the server as cold as after its start. */
	setCold(): void {
		this.#finished = 0;
	}
}
