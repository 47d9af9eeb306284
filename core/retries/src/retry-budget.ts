/** Limits of a retry budget. */
export type RetryBudgetOpts = {
	/** Extra attempts allowed for each first attempt, such as 0.1. */
	readonly ratio: number;
	/**
	 * Returns the current maximum of saved-up extra attempts. It may change as nodes join and leave, since the nodes
	 * share the capacity of a service.
	 */
	readonly getMaxTokens: () => number;
};

/** At most one extra attempt for ten first attempts. */
export const defaultRetryBudgetOpts: RetryBudgetOpts = {ratio: 0.1, getMaxTokens: () => 50};

/** Token bucket that limits all extra attempts, retries and hedges together, to a fraction of the first attempts. */
export class RetryBudget {
	readonly #opts: RetryBudgetOpts;
	#tokens = 0;

	constructor(opts: RetryBudgetOpts = defaultRetryBudgetOpts) {
		this.#opts = opts;
	}

	/** Records a first attempt, which adds to the budget. */
	recordFirstAttempt(): void {
		this.#tokens = Math.min(this.#tokens + this.#opts.ratio, this.#opts.getMaxTokens());
	}

	/** Takes one extra attempt out of the budget; returns false if none is left. */
	consume(): boolean {
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}
}
