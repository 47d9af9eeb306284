import type {CancelHandle} from '@buckthornpoint/backend-link/backend-gate.js';
import {RetryBudget, type RetryBudgetOpts} from '@buckthornpoint/retries/retry-budget.js';
import {AdvertisedStates, type AdvertisedStatesOpts} from './advertised-states.js';
import {
	Routing, type RoutedRequest, type RouterDependencies, type RoutingResult,
} from './routing.js';

/** Dependencies and limits of a request router. */
export type RequestRouterOpts = Omit<RouterDependencies, 'advertisedStates'> & AdvertisedStatesOpts & {
	readonly retryBudget: RetryBudgetOpts;
};

/** Routes the requests that callers send to this node to a backend server. */
export class RequestRouter {
	readonly #opts: RequestRouterOpts;
	readonly #advertisedStates: AdvertisedStates;
	readonly #retryBudgets = new Map<string, RetryBudget>();
	#isStopped = false;

	constructor(opts: RequestRouterOpts) {
		this.#opts = opts;
		this.#advertisedStates = new AdvertisedStates(opts);
	}

	/** Routes a request. Calls `finish` once, unless the request is cancelled first. */
	route(request: RoutedRequest, finish: (result: RoutingResult) => void): CancelHandle {
		this.#getRetryBudget(request.service).recordFirstAttempt();
		const routing = new Routing(request, {
			...this.#opts,
			advertisedStates: this.#advertisedStates,
			isStopped: () => this.#isStopped,
			consumeRetry: () => this.#getRetryBudget(request.service).consume(),
		}, finish);
		routing.start();
		return routing;
	}

	/** Stops starting attempts: the process ends before their answers could be delivered. */
	stop(): void {
		this.#isStopped = true;
	}

	#getRetryBudget(service: string): RetryBudget {
		const existing = this.#retryBudgets.get(service);
		if (existing !== undefined) {
			return existing;
		}

		const budget = new RetryBudget(this.#opts.retryBudget);
		this.#retryBudgets.set(service, budget);
		return budget;
	}
}
