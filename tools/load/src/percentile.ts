const hundredPercent = 100;

/** Returns the nearest-rank percentile of the values; 0 if there are none. */
export function measurePercentile(values: readonly number[], percentile: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * percentile / hundredPercent) - 1)] ?? 0;
}
