/** How many answers are remembered: some seconds of traffic, longer than the spells in which neighbours slow a machine. */
const rememberedAnswers = 400;

/** Time that is assumed before anything was measured, in milliseconds. */
const firstMs = 50;

/**
 * How long a run at a backend server takes over several seconds, in milliseconds. Keys are moved by it: what is
 * measured over a fraction of a second mostly tells what else ran on the machine just then.
 */
export class UsualTime {
	#meanMs = firstMs;
	#count = 0;

	/** Takes note of how long a run took. */
	note(tookMs: number): void {
		this.#count = Math.min(this.#count + 1, rememberedAnswers);
		this.#meanMs += (tookMs - this.#meanMs) / this.#count;
	}

	readMs(): number {
		return this.#meanMs;
	}
}
