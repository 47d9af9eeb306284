import {randomInt} from 'node:crypto';
import {type RandomSource} from './random.js';
import {SeededRandom} from './seeded-random.js';

const seedBound = 0x7F_FF_FF_FF;

/** Creates a source of randomness with an unpredictable seed. */
export function createSystemRandom(): RandomSource {
	return new SeededRandom(randomInt(seedBound));
}
