import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import {generateRetryDelay} from '@buckthornpoint/retries/backoff.js';
import {LatencyWindow} from '@buckthornpoint/retries/latency-window.js';
import type {RetryBudget} from '@buckthornpoint/retries/retry-budget.js';
import type {BackendStatistics} from '@buckthornpoint/routing/backend-statistics.js';
import {chooseBackend} from '@buckthornpoint/routing/choose-backend.js';
import {findDestination, listEligibleMembers} from '@buckthornpoint/routing/find-owner.js';
import type {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import type {Configuration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import {createNotRunFailure, type RequestFailure, type RequestResult} from '@buckthornpoint/types/requests.js';
import type {Attempt, AttemptSender} from './attempt-sender.js';

const maxAttempts = 4;
/** Time before the deadline that is reserved for returning the answer. */
const replyMarginMs = 30;
const retryAfterMs = 500;

/** Dependencies of a `LoadBalancedRoute`. */
export type LoadBalancedRouteOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly budget: RetryBudget;
	readonly routing: ObservableValue<RoutingTable>;
	readonly configuration: ObservableValue<Configuration>;
	readonly statistics: BackendStatistics;
	readonly sender: AttemptSender;
};

/** An idempotent request to a service that is not partitioned by key. */
export type LoadBalancedRequest = {
	readonly attempt: Omit<Attempt, 'partition'>;
	readonly placementKey: string;
	readonly service: ServiceConfiguration;
};

/** Sends idempotent requests to any backend server of a service that is not partitioned by key, and hedges slow ones. */
export class LoadBalancedRoute {
	readonly #opts: LoadBalancedRouteOpts;
	readonly #latencies = new Map<string, LatencyWindow>();

	constructor(opts: LoadBalancedRouteOpts) {
		this.#opts = opts;
	}

	/** Returns the first complete answer, or the last failure when no further attempt is allowed. */
	async send(request: LoadBalancedRequest, signal: AbortSignal): Promise<RequestResult> {
		const startMs = this.#readMs();
		const race = new AttemptRace(request, this.#opts, signal);
		const result = await race.run(this.#getLatencies(request.service.name).estimateHedgeDelay());
		if (result.kind === 'answer') {
			this.#getLatencies(request.service.name).record(this.#readMs() - startMs);
		}

		return result;
	}

	#getLatencies(service: string): LatencyWindow {
		const known = this.#latencies.get(service);
		if (known !== undefined) {
			return known;
		}

		const created = new LatencyWindow();
		this.#latencies.set(service, created);
		return created;
	}

	#readMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}

/** The concurrent attempts at one request. The first answer is used and the other attempts are cancelled. */
class AttemptRace {
	readonly #request: LoadBalancedRequest;
	readonly #opts: LoadBalancedRouteOpts;
	readonly #signal: AbortSignal;
	readonly #pendingAborter = new AbortController();
	readonly #triedVmIds = new Set<string>();
	#pending = 0;
	#attempts = 0;
	#resolve: ((result: RequestResult) => void) | undefined;

	constructor(request: LoadBalancedRequest, opts: LoadBalancedRouteOpts, signal: AbortSignal) {
		this.#request = request;
		this.#opts = opts;
		this.#signal = signal;
	}

	/** Runs until an attempt is answered or no further attempt is allowed. */
	async run(hedgeDelayMs: number | undefined): Promise<RequestResult> {
		let hedgeTimer: Timer | undefined;
		const result = await new Promise<RequestResult>(resolve => {
			this.#resolve = resolve;
			this.#start();
			hedgeTimer = hedgeDelayMs === undefined
				? undefined
				: this.#opts.clock.startTimer(hedgeDelayMs, () => {
					this.#hedge();
				});
		});
		hedgeTimer?.close();
		return result;
	}

	/** Ends the race with this result and cancels the pending attempts. */
	#complete(result: RequestResult): void {
		this.#pendingAborter.abort();
		this.#resolve?.(result);
	}

	#hedge(): void {
		const hasUntried = this.#listCandidates().some(({vmId}) => !this.#triedVmIds.has(vmId));
		if (hasUntried && this.#pending === 1 && this.#opts.budget.consume()) {
			this.#opts.metrics.addCount('request.hedged', 1, {service: this.#request.service.name});
			this.#start();
		}
	}

	#start(): void {
		const member = this.#chooseMember();
		if (member === undefined) {
			if (this.#pending === 0) {
				this.#complete(createNotRunFailure(this.#request.attempt.requestId, 'no-owner', 'no backend server of the service takes new work', retryAfterMs));
			}

			return;
		}

		this.#triedVmIds.add(member.vmId);
		this.#pending++;
		const running = this.#sendAttempt(member);
		running.catch(() => {
			// Attempts report failures as results and never reject.
		});
	}

	async #sendAttempt(member: Member): Promise<void> {
		const {attempt, service, placementKey} = this.#request;
		const {partition} = findDestination(this.#opts.routing.read(), service, placementKey);
		const numbered = {...attempt, partition, attempt: attempt.attempt + this.#attempts++};
		const result = await this.#opts.sender.send(numbered, member, AbortSignal.any([this.#signal, this.#pendingAborter.signal]));
		this.#pending--;
		if (this.#pendingAborter.signal.aborted) {
			return;
		}

		if (result.kind === 'answer' || this.#signal.aborted) {
			this.#complete(result);
			return;
		}

		if (this.#pending === 0) {
			await this.#retry(result);
		}
	}

	async #retry(failure: RequestFailure): Promise<void> {
		const mayRetry = this.#attempts < maxAttempts && failure.reason !== 'request-id-reused' && this.#measureRemaining() > 0;
		if (!mayRetry || !this.#opts.budget.consume()) {
			this.#complete(failure);
			return;
		}

		this.#opts.metrics.addCount('request.repeated', 1, {service: this.#request.service.name});
		await this.#opts.clock.sleep(Math.min(generateRetryDelay(this.#attempts - 1, this.#opts.random), this.#measureRemaining()), this.#signal);
		this.#start();
	}

	#chooseMember(): Member | undefined {
		const candidates = this.#listCandidates();
		const untried = candidates.filter(({vmId}) => !this.#triedVmIds.has(vmId));
		const eligible = untried.length === 0 ? candidates : untried;
		const vmId = chooseBackend({candidates: eligible.map(member => member.vmId), statistics: this.#opts.statistics, random: this.#opts.random});
		return eligible.find(member => member.vmId === vmId);
	}

	#listCandidates(): readonly Member[] {
		return listEligibleMembers(this.#opts.routing.read(), this.#opts.configuration.read(), this.#request.service.name);
	}

	#measureRemaining(): number {
		return this.#request.attempt.deadlineMs - replyMarginMs - this.#opts.clock.readTimestamp().monotonicMs;
	}
}
