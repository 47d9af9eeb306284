/** Source of randomness, injected into all code that makes random choices. */
export abstract class RandomSource {
	/** Returns an integer from 0 (inclusive) to `bound` (exclusive). */
	generateIntegerBelow(bound: number): number {
		return Math.floor(this.generateFraction() * bound);
	}

	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	abstract generateFraction(): number;
}
