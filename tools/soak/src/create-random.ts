import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';

/** The first values of generators with close seeds are correlated; after this many values they are not. */
const skippedValues = 64;

/** Creates a random number generator that is not correlated with those of neighbouring seeds. */
export function createRandom(seed: number): RandomSource {
	const random = new SeededRandom(seed);
	for (let index = 0; index < skippedValues; index++) {
		random.generateFraction();
	}

	return random;
}
