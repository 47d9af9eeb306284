import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import {drawDelay} from '@buckthornpoint/retries/backoff.js';
import type {RetryBudget} from '@buckthornpoint/retries/retry-budget.js';
import {findDestination, type Destination} from '@buckthornpoint/routing/find-owner.js';
import type {Published} from '@buckthornpoint/tasks/published.js';
import type {ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';
import {createNotRun, type FailureReason, type RequestResult} from '@buckthornpoint/types/requests.js';
import type {Attempt, AttemptSender} from './attempt-sender.js';

/** The longest wait for an owner, in milliseconds. */
const maxOwnerWaitMs = 3000;
/** Left of the caller's time when the router gives up waiting, in milliseconds. */
const answerMarginMs = 30;
const minPollMs = 5;
const maxPollMs = 100;
const maxWaiting = 1000;
const maxWaits = 200;
const retryAfterMs = 500;
/** The target had no right to the partition, or could not be reached: another owner is awaited. */
const ownerReasons: ReadonlySet<FailureReason> = new Set(['lease-not-held', 'incarnation-mismatch', 'stopping', 'peer-unreachable', 'no-owner', 'backend-server-unreachable']);

/** What the route works with. */
export type OwnerRouteOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly budget: RetryBudget;
	readonly routing: Published<RoutingTable>;
	readonly sender: AttemptSender;
};

/** A request on its way to the owner of its placement key. */
export type OwnedRequest = {
	readonly attempt: Omit<Attempt, 'partition'>;
	readonly placementKey: string;
	readonly service: ServiceConfiguration;
};

/** Sends requests to the owner of their partition, and waits for a new owner while the partition changes hands. */
export class OwnerRoute {
	readonly #opts: OwnerRouteOpts;
	#waiting = 0;

	constructor(opts: OwnerRouteOpts) {
		this.#opts = opts;
	}

	/** Sends the request until it has an answer or a failure that no further attempt can mend in time. */
	async send(request: OwnedRequest, signal: AbortSignal): Promise<RequestResult> {
		const {deadlineMs} = request.attempt;
		const giveUpMs = Math.min(deadlineMs - answerMarginMs, this.#readMs() + maxOwnerWaitMs);
		let retries = 0;
		let waits = 0;
		while (true) {
			const destination = findDestination(this.#opts.routing.read(), request.service, request.placementKey);
			const result = await this.#sendAttempt(request, destination, {extraAttempts: retries + waits, signal});
			if (result.kind === 'answer' || signal.aborted) {
				return result;
			}

			if (result.outcome === 'not-run' && ownerReasons.has(result.reason)) {
				const hasChanged = await this.#waitForOwner(waits, giveUpMs, signal);
				if (!hasChanged) {
					return {...result, retryAfterMs: result.retryAfterMs ?? retryAfterMs};
				}

				waits++;
				continue;
			}

			const mayRepeat = request.attempt.idempotent && mayPass(result.reason) && this.#readMs() < deadlineMs - answerMarginMs && this.#opts.budget.spend();
			if (!mayRepeat) {
				return result;
			}

			this.#opts.metrics.addCount('request.repeated', 1, {service: request.service.name});
			await this.#opts.clock.sleep(drawDelay(retries, this.#opts.random), signal);
			retries++;
		}
	}

	async #sendAttempt(request: OwnedRequest, destination: Destination, opts: {readonly extraAttempts: number; readonly signal: AbortSignal}): Promise<RequestResult> {
		const {attempt} = request;
		if (destination.owner === undefined) {
			return createNotRun(attempt.requestId, 'no-owner', 'no VM owns the partition at present', retryAfterMs);
		}

		const numbered = {...attempt, partition: destination.partition, attempt: attempt.attempt + opts.extraAttempts};
		return this.#opts.sender.send(numbered, destination.owner, opts.signal);
	}

	/** Waits until the routing table changes or some time has passed. Returns false when there is no time, or no room, to wait. */
	async #waitForOwner(waits: number, giveUpMs: number, signal: AbortSignal): Promise<boolean> {
		const remainingMs = giveUpMs - this.#readMs();
		if (remainingMs <= 0 || waits >= maxWaits || this.#waiting >= maxWaiting) {
			return false;
		}

		this.#waiting++;
		const pollMs = Math.min(maxPollMs, minPollMs * (2 ** waits)) * (1 + this.#opts.random.drawFraction());
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
		return this.#opts.clock.readMoment().monotonicMs;
	}
}

/** Tells whether a failure may pass by itself. Overload is left to the caller, since a key has one owner. */
function mayPass(reason: FailureReason): boolean {
	return reason === 'lost-answer' || reason === 'peer-unreachable' || reason === 'backend-server-refused' || reason === 'lease-not-held';
}
