import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Guard} from '@buckthornpoint/guard/guard.js';
import type {OutcomeQuery} from '@buckthornpoint/guard/outcome-query.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import type {AttemptOutcome, BackendStatistics} from '@buckthornpoint/routing/backend-statistics.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {
	createNotRunFailure, createOutcomeUnknownFailure, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import type {PeerCalls} from './peer-client.js';

const outcomeQueryTimeoutMs = 400;
const maxUnansweredQueries = 3;
const minQueryDelayMs = 10;
const maxQueryDelayMs = 200;
const maxHops = 3;

/** Dependencies of an `AttemptSender`. */
export type AttemptSenderOpts = {
	readonly node: NodeIdentity;
	readonly guard: Guard;
	readonly peers: PeerCalls;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly statistics: BackendStatistics;
};

/** An attempt at a request whose target is not yet chosen. */
export type Attempt = Omit<RoutedRequest, 'target' | 'remainingMs'> & {
	/** Deadline of the caller on the monotonic clock. */
	readonly deadlineMs: number;
};

/** Sends single attempts to nodes, and resolves the outcome of an attempt whose answer was lost. */
export class AttemptSender {
	readonly #opts: AttemptSenderOpts;

	constructor(opts: AttemptSenderOpts) {
		this.#opts = opts;
	}

	/** Sends one attempt to the node instance that the routing table names. */
	async send(attempt: Attempt, member: Member, signal: AbortSignal): Promise<RequestResult> {
		const {deadlineMs, ...others} = attempt;
		const startMs = this.#readMs();
		const routed: RoutedRequest = {...others, remainingMs: deadlineMs - startMs, target: {vmId: member.vmId, incarnation: member.incarnation}};
		if (routed.remainingMs <= 0) {
			return createNotRunFailure(attempt.requestId, 'deadline-exceeded', 'the deadline passed before the request was sent');
		}

		this.#opts.statistics.recordStart(member.vmId);
		const result = await this.#exchange(routed, member, signal);
		this.#opts.statistics.recordEnd(member.vmId, this.#readMs() - startMs, identifyEnding(result, signal));
		return this.#mustQueryOutcome(result, routed, member) ? this.#resolveOutcome(attempt, member, result) : result;
	}

	async #exchange(routed: RoutedRequest, member: Member, signal: AbortSignal): Promise<RequestResult> {
		return member.vmId === this.#opts.node.vmId
			? this.#opts.guard.handle(routed, signal)
			: this.#opts.peers.forward(member.peerOrigin, routed, signal);
	}

	/** Returns whether to query the outcome: only the connection to the other node failed, so that node may still know it. */
	#mustQueryOutcome(result: RequestResult, routed: RoutedRequest, member: Member): boolean {
		return result.kind === 'failure'
			&& result.outcome === 'outcome-unknown'
			&& result.reason === 'peer-unreachable'
			&& !routed.idempotent
			&& member.vmId !== this.#opts.node.vmId;
	}

	/** Queries the node for the outcome until it is known, the deadline passes or `maxUnansweredQueries` queries get no answer. */
	async #resolveOutcome(attempt: Attempt, member: Member, failure: RequestResult): Promise<RequestResult> {
		const query: OutcomeQuery = {
			requestId: attempt.requestId,
			partition: {service: attempt.service, partition: attempt.partition},
			attempt: attempt.attempt,
			targetIncarnation: member.incarnation,
			remainingHops: maxHops,
		};
		this.#opts.metrics.addCount('guard.connections-replaced', 1, {service: attempt.service});
		let delayMs = minQueryDelayMs;
		for (let unanswered = 0; unanswered < maxUnansweredQueries && this.#readMs() < attempt.deadlineMs;) {
			const report = await this.#queryOutcome(member.peerOrigin, query, attempt.deadlineMs);
			switch (report?.state) {
				case undefined: {
					unanswered++;
					break;
				}

				case 'finished': {
					return report.result;
				}

				case 'never-seen': {
					return createNotRunFailure(attempt.requestId, 'peer-unreachable', 'the request did not reach the owner\'s node, and will not run there');
				}

				case 'unknown': {
					return failure;
				}

				case 'running': {
					break;
				}
			}

			await this.#opts.clock.sleep(Math.min(delayMs, Math.max(0, attempt.deadlineMs - this.#readMs())));
			delayMs = Math.min(delayMs * 2, maxQueryDelayMs);
		}

		return createOutcomeUnknownFailure(attempt.requestId, 'peer-unreachable', 'the owner\'s node could not be asked for the outcome in time');
	}

	async #queryOutcome(peerOrigin: string, query: OutcomeQuery, deadlineMs: number): ReturnType<PeerCalls['findOutcome']> {
		const controller = new AbortController();
		const timer = this.#opts.clock.startTimer(Math.min(outcomeQueryTimeoutMs, deadlineMs - this.#readMs()), () => {
			controller.abort();
		});
		try {
			return await this.#opts.peers.findOutcome(peerOrigin, query, controller.signal);
		} finally {
			timer.close();
		}
	}

	#readMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}

function identifyEnding(result: RequestResult, signal: AbortSignal): AttemptOutcome {
	if (result.kind === 'answer') {
		return 'answered';
	}

	return signal.aborted ? 'cancelled' : 'failed';
}
