/** A straight line fitted to measured points. */
export type Line = {
	readonly intercept: number;
	readonly slope: number;
};

export type Point = {
	readonly size: number;
	readonly value: number;
};

/** Fits a line to the points by least squares. */
export function estimateLine(points: readonly Point[]): Line {
	const meanSize = measureMean(points.map(({size}) => size));
	const meanValue = measureMean(points.map(({value}) => value));
	const spread = points.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	const slope = spread === 0 ? 0 : points.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0) / spread;
	return {slope, intercept: meanValue - (slope * meanSize)};
}

function measureMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
