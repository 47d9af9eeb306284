import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {RandomSource} from './random.js';

/** Deterministic source of randomness: the same seed yields the same sequence. */
export class SeededRandom extends RandomSource {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		super();
		this.#generator = xoroshiro128plus(seed);
	}

	override generateFraction(): number {
		return uniformFloat64(this.#generator);
	}
}
