import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import {drawDelay} from '@buckthornpoint/retries/backoff.js';
import {LatencyWindow} from '@buckthornpoint/retries/latency-window.js';
import type {RetryBudget} from '@buckthornpoint/retries/retry-budget.js';
import type {BearerStatistics} from '@buckthornpoint/routing/bearer-statistics.js';
import {chooseBearer} from '@buckthornpoint/routing/choose-bearer.js';
import {findDestination, listBearers} from '@buckthornpoint/routing/find-owner.js';
import type {Published} from '@buckthornpoint/tasks/published.js';
import type {Configuration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import {createNotRun, type RequestFailure, type RequestResult} from '@buckthornpoint/types/requests.js';
import type {Attempt, AttemptSender} from './attempt-sender.js';

const maxAttempts = 4;
const answerMarginMs = 30;
const retryAfterMs = 500;

/** What the route works with. */
export type BearerRouteOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	readonly budget: RetryBudget;
	readonly routing: Published<RoutingTable>;
	readonly configuration: Published<Configuration>;
	readonly statistics: BearerStatistics;
	readonly sender: AttemptSender;
};

/** An idempotent request of an undivided service. */
export type SharedRequest = {
	readonly attempt: Omit<Attempt, 'partition'>;
	readonly placementKey: string;
	readonly service: ServiceConfiguration;
};

/** Sends idempotent requests to any backend server of an undivided service, and hedges those that take long. */
export class BearerRoute {
	readonly #opts: BearerRouteOpts;
	readonly #latencies = new Map<string, LatencyWindow>();

	constructor(opts: BearerRouteOpts) {
		this.#opts = opts;
	}

	/** Returns the first whole answer, or the last failure once no further attempt is allowed. */
	async send(request: SharedRequest, signal: AbortSignal): Promise<RequestResult> {
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
		return this.#opts.clock.readMoment().monotonicMs;
	}
}

/** The attempts at one request. The first answer wins and the others are cancelled. */
class AttemptRace {
	readonly #request: SharedRequest;
	readonly #opts: BearerRouteOpts;
	readonly #signal: AbortSignal;
	readonly #losers = new AbortController();
	readonly #asked = new Set<string>();
	#pending = 0;
	#attempts = 0;
	#resolve: ((result: RequestResult) => void) | undefined;

	constructor(request: SharedRequest, opts: BearerRouteOpts, signal: AbortSignal) {
		this.#request = request;
		this.#opts = opts;
		this.#signal = signal;
	}

	/** Runs until an attempt is answered or none is left. */
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

	/** The first result counts; attempts that still run are cancelled. */
	#complete(result: RequestResult): void {
		this.#losers.abort();
		this.#resolve?.(result);
	}

	#hedge(): void {
		const hasOther = this.#listCandidates().some(({vmId}) => !this.#asked.has(vmId));
		if (hasOther && this.#pending === 1 && this.#opts.budget.spend()) {
			this.#opts.metrics.addCount('request.hedged', 1, {service: this.#request.service.name});
			this.#start();
		}
	}

	#start(): void {
		const member = this.#chooseMember();
		if (member === undefined) {
			if (this.#pending === 0) {
				this.#complete(createNotRun(this.#request.attempt.requestId, 'no-owner', 'no backend server of the service takes new work', retryAfterMs));
			}

			return;
		}

		this.#asked.add(member.vmId);
		this.#pending++;
		const running = this.#sendAttempt(member);
		running.catch(() => {
			// Attempts end with a result, never with an error.
		});
	}

	async #sendAttempt(member: Member): Promise<void> {
		const {attempt, service, placementKey} = this.#request;
		const {partition} = findDestination(this.#opts.routing.read(), service, placementKey);
		const numbered = {...attempt, partition, attempt: attempt.attempt + this.#attempts++};
		const result = await this.#opts.sender.send(numbered, member, AbortSignal.any([this.#signal, this.#losers.signal]));
		this.#pending--;
		if (this.#losers.signal.aborted) {
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
		const mayRepeat = this.#attempts < maxAttempts && failure.reason !== 'request-id-reused' && this.#measureRemaining() > 0;
		if (!mayRepeat || !this.#opts.budget.spend()) {
			this.#complete(failure);
			return;
		}

		this.#opts.metrics.addCount('request.repeated', 1, {service: this.#request.service.name});
		await this.#opts.clock.sleep(Math.min(drawDelay(this.#attempts - 1, this.#opts.random), this.#measureRemaining()), this.#signal);
		this.#start();
	}

	#chooseMember(): Member | undefined {
		const candidates = this.#listCandidates();
		const unasked = candidates.filter(({vmId}) => !this.#asked.has(vmId));
		const among = unasked.length === 0 ? candidates : unasked;
		const vmId = chooseBearer({candidates: among.map(member => member.vmId), statistics: this.#opts.statistics, random: this.#opts.random});
		return among.find(member => member.vmId === vmId);
	}

	#listCandidates(): readonly Member[] {
		return listBearers(this.#opts.routing.read(), this.#opts.configuration.read(), this.#request.service.name);
	}

	#measureRemaining(): number {
		return this.#request.attempt.deadlineMs - answerMarginMs - this.#opts.clock.readMoment().monotonicMs;
	}
}
