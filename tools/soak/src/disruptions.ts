/** What was disrupted: the store, a node by its number, or the process of the soak test with all callers and backend servers. */
export type DisruptionTarget = 'store' | 'driver' | number;

/** Handle of a disruption that has not ended yet. */
export type OpenDisruption = {
	close(atMs: number): void;
};

type Interval = {readonly target: DisruptionTarget; readonly fromMs: number; toMs: number};

/** Records when the store, nodes or the soak test were disrupted. */
export class Disruptions {
	readonly #intervals: Interval[] = [];

	/** Records the start of a disruption. */
	open(target: DisruptionTarget, fromMs: number): OpenDisruption {
		const interval: Interval = {target, fromMs, toMs: Number.POSITIVE_INFINITY};
		this.#intervals.push(interval);
		return {
			close(atMs) {
				interval.toMs = atMs;
			},
		};
	}

	/** Returns whether any matching target was disrupted during a time interval. */
	hasOverlapping(isMatch: (target: DisruptionTarget) => boolean, fromMs: number, toMs: number): boolean {
		return this.#intervals.some(interval => isMatch(interval.target) && interval.fromMs <= toMs && interval.toMs >= fromMs);
	}
}
