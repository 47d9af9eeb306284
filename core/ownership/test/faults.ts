/** How the simulated store behaves. Fractions are between 0 and 1. */
export type StoreFaults = {
	readonly isDown: boolean;
	readonly lostAnswers: number;
	readonly duplicates: number;
	readonly maxDelayMs: number;
};

/** How the simulated network behaves. */
export type NetworkFaults = {
	readonly lost: number;
	readonly duplicates: number;
	readonly maxDelayMs: number;
};

/** A store that answers soon. */
export const noStoreFaults: StoreFaults = {
	isDown: false, lostAnswers: 0, duplicates: 0, maxDelayMs: 4,
};
/** A network that delivers everything soon. */
export const noNetworkFaults: NetworkFaults = {lost: 0, duplicates: 0, maxDelayMs: 2};
