/** The source of chance that is passed to everything that draws lots. */
export abstract class RandomSource {
	/** Returns a whole number from 0 (included) to `bound` (excluded). */
	drawBelow(bound: number): number {
		return Math.floor(this.drawFraction() * bound);
	}

	/** Returns a number from 0 (included) to 1 (excluded). */
	abstract drawFraction(): number;
}
