/** How a backend server behaves after its start. */
export type ColdStartOpts = {
	/** Requests that it bears at once when it has just started. */
	readonly concurrency: number;
	/** Finished requests after which it bears one more at once. */
	readonly requestsPerStep: number;
	/** How many times longer every request takes while more run than it bears. */
	readonly slowdown: number;
};

/**
 * How many requests a backend server bears at once: few when it has just started, more with each request that finished
 * while it was not over that number. Work over the number warms nothing.
 */
export class Warmth {
	readonly #slots: number;
	readonly #opts: ColdStartOpts | undefined;
	#finished = 0;
	#overruns = 0;

	constructor(slots: number, opts: ColdStartOpts | undefined) {
		this.#slots = slots;
		this.#opts = opts;
	}

	/** Requests that it bears at once now. */
	get bearable(): number {
		if (this.#opts === undefined) {
			return this.#slots;
		}

		const {concurrency, requestsPerStep} = this.#opts;
		return Math.min(this.#slots, concurrency + Math.floor(this.#finished / requestsPerStep));
	}

	/** Whether it bears fewer requests than it has slots. */
	get isCold(): boolean {
		return this.bearable < this.#slots;
	}

	/** How often a request began while it was cold and already had all that it bore. */
	get overruns(): number {
		return this.#overruns;
	}

	/** Notes that a request began, and how many run with it. */
	noteStarted(running: number): void {
		if (this.isCold && running > this.bearable) {
			this.#overruns++;
		}
	}

	/** Notes that a request finished, and how many ran with it. */
	noteFinished(running: number): void {
		if (running <= this.bearable) {
			this.#finished++;
		}
	}

	/** Returns how many times longer work takes while this many requests run. */
	measureSlowdown(running: number): number {
		return running > this.bearable ? this.#opts?.slowdown ?? 1 : 1;
	}

	/** Makes the server as cold as at its start. */
	setCold(): void {
		this.#finished = 0;
	}
}
