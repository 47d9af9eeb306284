import {AdvertisedLimit} from '@buckthornpoint/admission/advertised-limit.js';
import {isServerFailure} from './classify-response.js';
import {MeanServiceTime} from './mean-service-time.js';
import type {Outcome} from './outcome.js';
import {Slowness} from './slowness.js';

/** Weight of the newest outcome in the failure share. */
const newestOutcomeWeight = 0.08;

/** What the answers of one backend server instance show about it. */
export class BackendStatistics {
	readonly slowness = new Slowness();
	readonly meanServiceTime = new MeanServiceTime();
	readonly limit = new AdvertisedLimit();
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
}
