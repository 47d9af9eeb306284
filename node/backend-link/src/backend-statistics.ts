import {isServerFailure} from './classify-response.js';
import {MeanServiceTime} from './mean-service-time.js';
import type {Outcome} from './outcome.js';
import {Slowness} from './slowness.js';

/** Weight of the newest outcome in the failure share. */
const newestOutcomeWeight = 0.08;

/** Least capacity that is reported: the demand on a server that advertises a limit of 0 must stay a number. */
const minCapacityPerS = 0.1;

/** Execution times vary by as much as their mean: with fewer answers the rate is off by more than a sixth. */
const minMeasuredAnswers = 40;

const msPerSecond = 1000;

/** What the answers of one backend server instance show about it. */
export class BackendStatistics {
	readonly slowness = new Slowness();
	readonly meanServiceTime = new MeanServiceTime();
	/** The same at the usual speed of the server: each execution time is divided by the slowness at its end. */
	readonly #usualServiceTime = new MeanServiceTime();
	#failureShare = 0;

	/** Share of recent requests that the server failed or refused. */
	get failureShare(): number {
		return this.#failureShare;
	}

	/** Records the outcome of a request, with its execution time if the server answered it. */
	record(outcome: Outcome, tookMs: number | undefined, slowness = 1): void {
		if (tookMs !== undefined) {
			this.#usualServiceTime.record(tookMs / slowness);
			this.meanServiceTime.record(tookMs);
		}

		this.#failureShare += ((isServerFailure(outcome) ? 1 : 0) - this.#failureShare) * newestOutcomeWeight;
	}

	/** Requests per second that the server can serve at its usual speed, with its slots and within a limit; undefined until enough answers were measured. */
	estimateRatePerS(slots: number, limitPerS: number | undefined): number | undefined {
		const slotsPerS = Math.max(1, slots) / Math.max(1, this.#usualServiceTime.readMs()) * msPerSecond;
		return this.#usualServiceTime.count < minMeasuredAnswers ? undefined : Math.min(slotsPerS, Math.max(minCapacityPerS, limitPerS ?? slotsPerS));
	}

	/** Requests per second that the server can serve with its slots and within a limit. */
	estimateCapacityPerS(slots: number, limitPerS: number | undefined): number {
		const slotsPerS = Math.max(1, slots) / Math.max(1, this.meanServiceTime.readMs()) * msPerSecond;
		return Math.min(slotsPerS, Math.max(minCapacityPerS, limitPerS ?? slotsPerS));
	}
}
