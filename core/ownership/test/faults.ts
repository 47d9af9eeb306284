/** Faults of the simulated store. `lostAnswers` and `duplicates` are probabilities. */
export type StoreFaults = {
	readonly isDown: boolean;
	readonly lostAnswers: number;
	readonly duplicates: number;
	readonly maxDelayMs: number;
};

/** Faults of the simulated network. `lost` and `duplicates` are probabilities. */
export type NetworkFaults = {
	readonly lost: number;
	readonly duplicates: number;
	readonly maxDelayMs: number;
};

/** A store that is available and answers quickly. */
export const noStoreFaults: StoreFaults = {
	isDown: false, lostAnswers: 0, duplicates: 0, maxDelayMs: 4,
};
/** A network that delivers every message once and quickly. */
export const noNetworkFaults: NetworkFaults = {lost: 0, duplicates: 0, maxDelayMs: 2};
