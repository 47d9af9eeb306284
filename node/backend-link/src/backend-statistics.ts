import {isServerFailure} from './classify-response.js';
import {MeanServiceTime} from './mean-service-time.js';
import type {Outcome} from './outcome.js';
import {Slowness} from './slowness.js';

/** Weight of the newest outcome in the failure share. */
const newestOutcomeWeight = 0.08;

/** Least capacity that is reported: the demand on a server that advertises a limit of 0 must stay a number. */
const minCapacityPerS = 0.1;

const msPerSecond = 1000;

/** What the answers of one backend server instance show about it. */
export class BackendStatistics {
	readonly slowness = new Slowness();
	readonly meanServiceTime = new MeanServiceTime();
	#failureShare = 0;

	/** Share of recent requests that the server failed or refused. */
	get failureShare(): number {
		return this.#failureShare;
	}

	/** Records the outcome of a request, with its execution time if the server answered it. */
	record(outcome: Outcome, tookMs: number | undefined): void {
		if (tookMs !== undefined) {
			this.meanServiceTime.record(tookMs);
		}

		this.#failureShare += ((isServerFailure(outcome) ? 1 : 0) - this.#failureShare) * newestOutcomeWeight;
	}

	/** Requests per second that the server can serve with its slots and within a limit. */
	estimateCapacityPerS(slots: number, limitPerS: number | undefined): number {
		const slotsPerS = Math.max(1, slots) / Math.max(1, this.meanServiceTime.readMs()) * msPerSecond;
		return Math.min(slotsPerS, Math.max(minCapacityPerS, limitPerS ?? slotsPerS));
	}
}
