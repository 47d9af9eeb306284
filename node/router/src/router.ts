import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Guard} from '@buckthornpoint/guard/guard.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import {RetryBudget} from '@buckthornpoint/retries/retry-budget.js';
import {BackendStatistics} from '@buckthornpoint/routing/backend-statistics.js';
import type {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';
import {
	createNotRunFailure, createOutcomeUnknownFailure, type FailureReason, type RequestResult,
} from '@buckthornpoint/types/requests.js';
import {AttemptSender} from './attempt-sender.js';
import {LoadBalancedRoute} from './load-balanced-route.js';
import {OwnerRoute} from './owner-route.js';
import {parseRequest, type CallerRequest, type ParsedRequest} from './parse-request.js';
import type {PeerCalls} from './peer-client.js';

/** Refusal reasons that a guard returns only after its outcome table has shown that the request never ran. */
const reasonsAfterOutcomeCheck: ReadonlySet<FailureReason> = new Set(['overloaded', 'backend-server-refused']);

/** Dependencies of a `Router`. */
export type RouterOpts = {
	readonly node: NodeIdentity;
	readonly guard: Guard;
	readonly peers: PeerCalls;
	readonly routing: ObservableValue<RoutingTable>;
	readonly configuration: ObservableValue<Configuration>;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: Metrics;
};

/** Routes requests of callers to the nodes that may serve them. */
export class Router {
	readonly #opts: RouterOpts;
	readonly #budget = new RetryBudget();
	readonly #statistics = new BackendStatistics();
	readonly #ownerRoute: OwnerRoute;
	readonly #loadBalancedRoute: LoadBalancedRoute;
	readonly #unsubscribe: () => void;

	constructor(opts: RouterOpts) {
		this.#opts = opts;
		const sender = new AttemptSender({...opts, statistics: this.#statistics});
		this.#ownerRoute = new OwnerRoute({...opts, budget: this.#budget, sender});
		this.#loadBalancedRoute = new LoadBalancedRoute({
			...opts, budget: this.#budget, statistics: this.#statistics, sender,
		});
		this.#unsubscribe = opts.routing.subscribe(({members}) => {
			this.#statistics.removeNonMembers(new Set(members.map(({vmId}) => vmId)));
		});
	}

	/** Routes one request and returns its complete answer or a typed failure. */
	async route(request: CallerRequest, signal: AbortSignal): Promise<RequestResult> {
		const parsed = parseRequest(request, this.#opts.configuration.read(), this.#opts.clock.readTimestamp().wallMs);
		if (parsed.isErr()) {
			return parsed.error;
		}

		const startMs = this.#opts.clock.readTimestamp().monotonicMs;
		this.#budget.recordFirstAttempt();
		const result = await this.#send(parsed.value, signal);
		this.#report(parsed.value, result, startMs);
		return toProvedResult(parsed.value, result);
	}

	/** Unsubscribes from the routing table. */
	close(): void {
		this.#unsubscribe();
	}

	async #send(parsed: ParsedRequest, signal: AbortSignal): Promise<RequestResult> {
		const service = this.#opts.configuration.read().services.find(({name}) => name === parsed.service);
		if (service === undefined) {
			return createNotRunFailure(parsed.requestId, 'service-unknown', 'the service was withdrawn');
		}

		const {remainingMs, placementKey, divided, isFirstCallerAttempt, ...others} = parsed;
		const attempt = {...others, deadlineMs: this.#opts.clock.readTimestamp().monotonicMs + remainingMs};
		const request = {attempt, placementKey, service};
		return !divided && parsed.idempotent ? this.#loadBalancedRoute.send(request, signal) : this.#ownerRoute.send(request, signal);
	}

	#report(parsed: ParsedRequest, result: RequestResult, startMs: number): void {
		const tags = {service: parsed.service, tenant: parsed.tenant, requestClass: parsed.requestClass};
		this.#opts.metrics.recordValue('request.duration', this.#opts.clock.readTimestamp().monotonicMs - startMs, tags);
		if (result.kind === 'answer') {
			this.#opts.metrics.addCount('request.finished', 1, tags);
		} else {
			this.#opts.metrics.addCount('request.failed', 1, {...tags, outcome: result.outcome, reason: result.reason});
		}
	}
}

/**
 * A refusal proves only that this attempt did not run. If the same id may have been sent before and the outcome table was
 * not checked, the request may have run, so the outcome is unknown.
 */
function toProvedResult(parsed: ParsedRequest, result: RequestResult): RequestResult {
	const isProved = result.kind === 'answer' || result.outcome === 'outcome-unknown' || parsed.idempotent || parsed.isFirstCallerAttempt || reasonsAfterOutcomeCheck.has(result.reason);
	return isProved
		? result
		: {...createOutcomeUnknownFailure(parsed.requestId, result.reason, `this sending did not run; an earlier one may have (${result.message})`), retryAfterMs: result.retryAfterMs};
}
