/**
 * Numbers per era of the store for versions of maps, fences and epochs. More than are given out in the seconds that a return from
 * an older copy loses, so that numbers of a later era are above all of earlier ones, known or not. Fences have few digits, since
 * the answer to a heartbeat has limited space for ranges.
 */
const numbersPerEra = 1000;

/** The era that platforms count from; those that report no era stay in it. */
const firstEra = 1;

/** Derives a number of the era `era` that is above all that followed `number`, which was read from a row of the era `fromEra`. */
export function deriveNumberInEra(number: number, fromEra: number, era: number): number {
	return number + (numbersPerEra * Math.max(0, Math.max(firstEra, era) - Math.max(firstEra, fromEra)));
}
