import type {CancelHandle} from '@buckthornpoint/backend-link/backend-gate.js';
import {RetryBudget, type RetryBudgetOpts} from '@buckthornpoint/retries/retry-budget.js';
import {SecondTryPolicy} from '@buckthornpoint/retries/second-try-policy.js';
import type {Outcome, OwnerLoad} from '@buckthornpoint/backend-link/outcome.js';
import {AdvertisedStates, type AdvertisedStatesOpts} from './advertised-states.js';
import {FullServers} from './full-servers.js';
import {PromisedServers} from './promised-servers.js';
import {
	Routing, type RoutedRequest, type RouterDependencies, type RoutingOpts, type RoutingResult,
} from './routing.js';
import {SecondTry, type SecondTryEvent} from './second-try.js';

/** Dependencies and limits of a request router. */
export type RequestRouterOpts = Omit<RouterDependencies, 'advertisedStates'> & AdvertisedStatesOpts & {
	readonly retryBudget: RetryBudgetOpts;
	readonly secondTries?: SecondTriesOpts;
};

/** Limits and reports of second tries. */
export type SecondTriesOpts = {
	/** Highest share of second tries among the requests of a service; 0 for none. */
	readonly maxShare: number;
	readonly onEvent: (service: string, event: SecondTryEvent) => void;
};

/** Routes the requests that callers send to this node to a backend server. */
export class RequestRouter {
	readonly #opts: RequestRouterOpts;
	readonly #advertisedStates: AdvertisedStates;
	/** Shared by all requests. */
	readonly #routingOpts: RoutingOpts;
	readonly #fullServers = new FullServers();
	readonly #promisedServers = new PromisedServers();
	readonly #retryBudgets = new Map<string, RetryBudget>();
	readonly #secondTryPolicies = new Map<string, SecondTryPolicy>();
	#isStopped = false;
	#isStopping = false;

	constructor(opts: RequestRouterOpts) {
		this.#opts = opts;
		this.#advertisedStates = new AdvertisedStates(opts);
		this.#routingOpts = {
			...opts,
			advertisedStates: this.#advertisedStates,
			isStopped: () => this.#isStopped,
			recordLoad: (address, load) => {
				this.#recordLoad(address, load);
			},
			consumeRetry: service => this.#getRetryBudget(service).consume(),
		};
	}

	/** Routes a request. Calls `finish` once, unless the request is cancelled first. */
	route(request: RoutedRequest, finish: (result: RoutingResult) => void): CancelHandle {
		const refusal = this.#findRefusal(request);
		if (refusal !== undefined) {
			finish({outcome: refusal, tries: []});
			return {cancel: () => undefined};
		}

		this.#getRetryBudget(request.service).recordFirstAttempt();
		const arrivedMs = this.#readNowMs();
		const routing = new Routing(request, this.#routingOpts, {
			promisedServer: this.#promisedServers.consume(request, arrivedMs),
			secondTry: this.#createSecondTry(request),
		}, result => {
			this.#promisedServers.record(request, result.outcome, {arrivedMs, nowMs: this.#readNowMs()});
			finish(result);
		});
		routing.start();
		return routing;
	}

	/** Starts a planned stop: no further second tries. */
	startStop(): void {
		this.#isStopping = true;
	}

	/** Stops starting attempts: the process ends before their answers could be delivered. */
	stop(): void {
		this.#isStopped = true;
	}

	#createSecondTry(request: RoutedRequest): SecondTry | undefined {
		const {secondTries, clock} = this.#opts;
		if (secondTries === undefined || secondTries.maxShare === 0 || request.isDivided) {
			return undefined;
		}

		const policy = this.#secondTryPolicies.get(request.service) ?? new SecondTryPolicy(secondTries.maxShare);
		this.#secondTryPolicies.set(request.service, policy);
		policy.recordRequest(clock.readTimestamp().monotonicMs);
		return new SecondTry(request, {
			policy,
			clock,
			isStopping: () => this.#isStopping || this.#isStopped,
			consumeRetry: () => this.#getRetryBudget(request.service).consume(),
			onEvent(event) {
				secondTries.onEvent(request.service, event);
			},
		});
	}

	/** Records the load that was returned with an answer; undefined if there was no answer. */
	#recordLoad(address: string, load: OwnerLoad | undefined): void {
		const nowMs = this.#readNowMs();
		this.#opts.statistics.recordCompleted(address, load, nowMs);
		this.#advertisedStates.record(address, load?.advertised, nowMs);
		if (load !== undefined) {
			this.#fullServers.record(address, load.waits, nowMs);
		}
	}

	/** Refuses a request without an offer if all servers that could run it are known to be full. */
	#findRefusal(request: RoutedRequest): Outcome | undefined {
		const {view, gate, ownAddress} = this.#opts;
		const {service, key, isDivided} = request;
		if (!view.sharedServices.has(service)) {
			return undefined;
		}

		const owner = isDivided && key !== undefined ? view.findOwner(service, key) : undefined;
		const servers = isDivided ? (owner === undefined ? [] : [owner]) : view.listNodes(service);
		const nowMs = this.#readNowMs();
		this.#fullServers.record(ownAddress, gate.readLoad().waits, nowMs);
		return this.#fullServers.createRefusal(request, servers, nowMs);
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
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
