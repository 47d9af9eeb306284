const wholePercent = 100;

/** Returns the value under which the given percentage of the values lies; 0 for no values. */
export function measurePercentile(values: readonly number[], percentile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * percentile / wholePercent) - 1)] ?? 0;
}
