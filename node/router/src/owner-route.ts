import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import {generateRetryDelay} from '@buckthornpoint/retries/backoff.js';
import type {RetryBudget} from '@buckthornpoint/retries/retry-budget.js';
import {findDestination, type Destination} from '@buckthornpoint/routing/find-owner.js';
import type {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import type {ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';
import {createNotRunFailure, type FailureReason, type RequestResult} from '@buckthornpoint/types/requests.js';
import type {Attempt, AttemptSender} from './attempt-sender.js';

/** Maximum time that a request waits for an owner. */
const maxOwnerWaitMs = 3000;
/** Time before the deadline that is reserved for returning the answer. */
const replyMarginMs = 30;
const minPollDelayMs = 5;
const maxPollDelayMs = 100;
const maxWaitingRequests = 1000;
const maxWaitsPerRequest = 200;
const retryAfterMs = 500;
/** Failure reasons after which the request waits for another owner: the target may not serve the partition or can't be reached. */
const ownerChangeReasons: ReadonlySet<FailureReason> = new Set(['lease-not-held', 'incarnation-mismatch', 'stopping', 'peer-unreachable', 'no-owner', 'backend-server-unreachable']);

/** Dependencies of an `OwnerRoute`. */
export type OwnerRouteOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly budget: RetryBudget;
	readonly routing: ObservableValue<RoutingTable>;
	readonly sender: AttemptSender;
};

/** A request to the owner of its placement key. */
export type OwnedRequest = {
	readonly attempt: Omit<Attempt, 'partition'>;
	readonly placementKey: string;
	readonly service: ServiceConfiguration;
};

/** Sends requests to the owner of their partition, and waits for the new owner while the partition is being moved. */
export class OwnerRoute {
	readonly #opts: OwnerRouteOpts;
	#waiting = 0;

	constructor(opts: OwnerRouteOpts) {
		this.#opts = opts;
	}

	/** Sends the request until it gets an answer, or a failure that no further attempt before the deadline can resolve. */
	async send(request: OwnedRequest, signal: AbortSignal): Promise<RequestResult> {
		const {deadlineMs} = request.attempt;
		const waitDeadlineMs = Math.min(deadlineMs - replyMarginMs, this.#readMs() + maxOwnerWaitMs);
		let retries = 0;
		let waits = 0;
		while (true) {
			const destination = findDestination(this.#opts.routing.read(), request.service, request.placementKey);
			const result = await this.#sendAttempt(request, destination, {extraAttempts: retries + waits, signal});
			if (result.kind === 'answer' || signal.aborted) {
				return result;
			}

			if (result.outcome === 'not-run' && ownerChangeReasons.has(result.reason)) {
				const hasWaited = await this.#waitForOwner(waits, waitDeadlineMs, signal);
				if (!hasWaited) {
					return {...result, retryAfterMs: result.retryAfterMs ?? retryAfterMs};
				}

				waits++;
				continue;
			}

			const mayRetry = request.attempt.idempotent && isTransient(result.reason) && this.#readMs() < deadlineMs - replyMarginMs && this.#opts.budget.consume();
			if (!mayRetry) {
				return result;
			}

			this.#opts.metrics.addCount('request.repeated', 1, {service: request.service.name});
			await this.#opts.clock.sleep(generateRetryDelay(retries, this.#opts.random), signal);
			retries++;
		}
	}

	async #sendAttempt(request: OwnedRequest, destination: Destination, opts: {readonly extraAttempts: number; readonly signal: AbortSignal}): Promise<RequestResult> {
		const {attempt} = request;
		if (destination.owner === undefined) {
			return createNotRunFailure(attempt.requestId, 'no-owner', 'no VM owns the partition at present', retryAfterMs);
		}

		const numbered = {...attempt, partition: destination.partition, attempt: attempt.attempt + opts.extraAttempts};
		return this.#opts.sender.send(numbered, destination.owner, opts.signal);
	}

	/** Waits until the routing table changes or the poll delay ends. Returns false if no time or capacity is left to wait, or the request was aborted. */
	async #waitForOwner(waits: number, waitDeadlineMs: number, signal: AbortSignal): Promise<boolean> {
		const remainingMs = waitDeadlineMs - this.#readMs();
		if (remainingMs <= 0 || waits >= maxWaitsPerRequest || this.#waiting >= maxWaitingRequests) {
			return false;
		}

		this.#waiting++;
		const pollMs = Math.min(maxPollDelayMs, minPollDelayMs * (2 ** waits)) * (1 + this.#opts.random.generateFraction());
		const changed = new AbortController();
		const unsubscribe = this.#opts.routing.subscribe(() => {
			changed.abort();
		});
		await this.#opts.clock.sleep(Math.min(pollMs, remainingMs), AbortSignal.any([signal, changed.signal]));
		unsubscribe();
		this.#waiting--;
		return !signal.aborted;
	}

	#readMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}

/** Returns whether a retry on the same owner may succeed. After overload only the caller retries, since no other node can serve the key. */
function isTransient(reason: FailureReason): boolean {
	return reason === 'lost-answer' || reason === 'peer-unreachable' || reason === 'backend-server-refused' || reason === 'lease-not-held';
}
