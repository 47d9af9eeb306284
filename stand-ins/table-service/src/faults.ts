/** What the stand-in does wrong at present. Operators of a test change it while it runs. */
export type StoreFaults = {
	/** Answers every request with 503. */
	readonly down: boolean;
	/** Delay before each answer, in milliseconds. */
	readonly delayMs: number;
	/** How many of the next writes take effect but whose answers are lost. */
	readonly loseAnswers: number;
	/** Writes a second that are accepted; more are answered with 503. */
	readonly maxWritesPerSecond: number;
	/** Reads a second that are accepted; more are answered with 503. */
	readonly maxReadsPerSecond: number;
};

/** A store without faults, at the rates that the platform is said to bear. */
export const noFaults: StoreFaults = {
	down: false, delayMs: 0, loseAnswers: 0, maxWritesPerSecond: 500, maxReadsPerSecond: 2000,
};
