/** Source of randomness, injected into all code that makes random choices. */
export abstract class RandomSource {
	/** Returns an integer from 0 (inclusive) to `bound` (exclusive). */
	drawBelow(bound: number): number {
		return Math.floor(this.drawFraction() * bound);
	}

	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	abstract drawFraction(): number;
}
