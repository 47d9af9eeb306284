import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Guard} from '@buckthornpoint/guard/guard.js';
import type {OutcomeQuery} from '@buckthornpoint/guard/outcome-query.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import type {AttemptEnding, BearerStatistics} from '@buckthornpoint/routing/bearer-statistics.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {
	createNotRun, createOutcomeUnknown, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import type {PeerLink} from './peer-client.js';

const questionTimeoutMs = 400;
const maxUnansweredQuestions = 3;
const firstQuestionDelayMs = 10;
const maxQuestionDelayMs = 200;
const maxHops = 3;

/** What a sender works with. */
export type AttemptSenderOpts = {
	readonly node: NodeIdentity;
	readonly guard: Guard;
	readonly peers: PeerLink;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly statistics: BearerStatistics;
};

/** A request whose target is not yet named. */
export type Attempt = Omit<RoutedRequest, 'target' | 'remainingMs'> & {
	/** End of the caller's time on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
};

/** Sends single attempts to nodes, and finds out what became of one whose answer was lost. */
export class AttemptSender {
	readonly #opts: AttemptSenderOpts;

	constructor(opts: AttemptSenderOpts) {
		this.#opts = opts;
	}

	/** Sends one attempt to the run of the member that the routing table names. */
	async send(attempt: Attempt, member: Member, signal: AbortSignal): Promise<RequestResult> {
		const {deadlineMs, ...others} = attempt;
		const startMs = this.#readMs();
		const routed: RoutedRequest = {...others, remainingMs: deadlineMs - startMs, target: {vmId: member.vmId, incarnation: member.incarnation}};
		if (routed.remainingMs <= 0) {
			return createNotRun(attempt.requestId, 'deadline-exceeded', 'the deadline passed before the request was sent');
		}

		this.#opts.statistics.noteStart(member.vmId);
		const result = await this.#exchange(routed, member, signal);
		this.#opts.statistics.noteEnd(member.vmId, this.#readMs() - startMs, identifyEnding(result, signal));
		return this.#mustAsk(result, routed, member) ? this.#askForOutcome(attempt, member, result) : result;
	}

	async #exchange(routed: RoutedRequest, member: Member, signal: AbortSignal): Promise<RequestResult> {
		return member.vmId === this.#opts.node.vmId
			? this.#opts.guard.handle(routed, signal)
			: this.#opts.peers.forward(member.peerOrigin, routed, signal);
	}

	/** Only the way to the other node failed: that node may still know the outcome. */
	#mustAsk(result: RequestResult, routed: RoutedRequest, member: Member): boolean {
		return result.kind === 'failure'
			&& result.outcome === 'outcome-unknown'
			&& result.reason === 'peer-unreachable'
			&& !routed.idempotent
			&& member.vmId !== this.#opts.node.vmId;
	}

	/** Asks over a new connection until the outcome is known, the time is up or the node stays out of reach. */
	async #askForOutcome(attempt: Attempt, member: Member, failure: RequestResult): Promise<RequestResult> {
		const question: OutcomeQuery = {
			requestId: attempt.requestId,
			partition: {service: attempt.service, partition: attempt.partition},
			attempt: attempt.attempt,
			targetIncarnation: member.incarnation,
			remainingHops: maxHops,
		};
		this.#opts.metrics.addCount('guard.connections-replaced', 1, {service: attempt.service});
		let delayMs = firstQuestionDelayMs;
		for (let unanswered = 0; unanswered < maxUnansweredQuestions && this.#readMs() < attempt.deadlineMs;) {
			const report = await this.#ask(member.peerOrigin, question, attempt.deadlineMs);
			switch (report?.state) {
				case undefined: {
					unanswered++;
					break;
				}

				case 'finished': {
					return report.result;
				}

				case 'never-seen': {
					return createNotRun(attempt.requestId, 'peer-unreachable', 'the request did not reach the owner\'s node, and will not run there');
				}

				case 'unknown': {
					return failure;
				}

				case 'running': {
					break;
				}
			}

			await this.#opts.clock.sleep(Math.min(delayMs, Math.max(0, attempt.deadlineMs - this.#readMs())));
			delayMs = Math.min(delayMs * 2, maxQuestionDelayMs);
		}

		return createOutcomeUnknown(attempt.requestId, 'peer-unreachable', 'the owner\'s node could not be asked for the outcome in time');
	}

	async #ask(peerOrigin: string, question: OutcomeQuery, deadlineMs: number): ReturnType<PeerLink['findOutcome']> {
		const controller = new AbortController();
		const timer = this.#opts.clock.startTimer(Math.min(questionTimeoutMs, deadlineMs - this.#readMs()), () => {
			controller.abort();
		});
		try {
			return await this.#opts.peers.findOutcome(peerOrigin, question, controller.signal);
		} finally {
			timer.close();
		}
	}

	#readMs(): number {
		return this.#opts.clock.readMoment().monotonicMs;
	}
}

function identifyEnding(result: RequestResult, signal: AbortSignal): AttemptEnding {
	if (result.kind === 'answer') {
		return 'answered';
	}

	return signal.aborted ? 'cancelled' : 'failed';
}
