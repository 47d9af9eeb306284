import {createHash} from 'node:crypto';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {OutcomeTable, type OutcomeTableOpts, type RequestAttempt} from '@buckthornpoint/outcomes/outcome-table.js';
import {
	createNotRunFailure, createOutcomeUnknownFailure, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import type {PartitionId} from '@buckthornpoint/types/identity.js';
import type {QueryOutcome, OutcomeQuery, OutcomeReport} from './outcome-query.js';
import {findEarlierOwner, type OwnershipHistory} from './ownership-history.js';

const maxHops = 3;
const outcomeQueryTimeoutMs = 500;
/** Largest attempt number: the queried node refuses every attempt with the request id. */
const allAttempts = 0xFF_FF_FF_FF;

/** Dependencies and settings of an `AtMostOnceGate`. */
export type AtMostOnceGateOpts = {
	readonly clock: Clock;
	readonly history: OwnershipHistory;
	readonly queryOutcome: QueryOutcome;
	readonly record?: OutcomeTableOpts;
};

type UnseenRequest = {
	readonly requestId: string;
	readonly partition: PartitionId;
	/** How many earlier owners may still be queried. */
	readonly remainingHops: number;
};

type RunRequest = () => Promise<RequestResult>;

/** Executes each non-idempotent request at most once and keeps its outcome. */
export class AtMostOnceGate {
	readonly #opts: AtMostOnceGateOpts;
	readonly #record: OutcomeTable;
	readonly #running = new Map<string, Promise<RequestResult>>();

	constructor(opts: AtMostOnceGateOpts) {
		this.#opts = opts;
		this.#record = new OutcomeTable(opts.record);
	}

	/** Returns whether the request is running or finished on this node; its result can then be returned without a lease. */
	hasOutcome(requestId: string): boolean {
		const {state} = this.#record.findOutcome(requestId, this.#opts.clock.readTimestamp());
		return state === 'running' || state === 'finished';
	}

	/** Executes the request if no owner of its partition can have executed it. Otherwise returns the known result or waits for the running execution. */
	async run(routed: RoutedRequest, runRequest: RunRequest, signal: AbortSignal): Promise<RequestResult> {
		const {requestId} = routed;
		const requestAttempt = {requestId, attempt: routed.attempt, fingerprint: hashRequest(routed)};
		const verdict = this.#record.admit(requestAttempt, this.#opts.clock.readTimestamp());
		switch (verdict.kind) {
			case 'begun': {
				return this.#start(requestAttempt, routed, runRequest);
			}

			case 'running': {
				return this.#waitForRunning(requestId, signal);
			}

			case 'finished': {
				return verdict.result ?? createOutcomeUnknownFailure(requestId, 'lost-answer', 'the request ran, and its answer is no longer kept');
			}

			case 'reused': {
				return createNotRunFailure(requestId, 'request-id-reused', 'another request was sent under the same id');
			}

			case 'refused': {
				return verdict.proved
					? createNotRunFailure(requestId, 'cancelled', 'this sending came after it had been given up')
					: createOutcomeUnknownFailure(requestId, 'lost-answer', 'an earlier owner of the partition may have run the request');
			}

			case 'invalid-id': {
				return createNotRunFailure(requestId, 'invalid-request', 'the id of a request that is not idempotent must be a UUIDv7 in lower case');
			}

			case 'unknown': {
				return createOutcomeUnknownFailure(requestId, 'lost-answer', 'the id is older than the record of outcomes, or its issuer\'s clock runs ahead');
			}
		}
	}

	/** Returns the outcome of a request. If this node has not seen the request, it refuses the queried attempt and earlier ones from then on. */
	async findOutcome(query: OutcomeQuery, signal: AbortSignal): Promise<OutcomeReport> {
		const now = this.#opts.clock.readTimestamp();
		const known = this.#record.findOutcome(query.requestId, now);
		switch (known.state) {
			case 'running': {
				return {state: 'running'};
			}

			case 'finished': {
				return known.result === undefined ? {state: 'unknown'} : {state: 'finished', result: known.result};
			}

			case 'unknown': {
				return {state: 'unknown'};
			}

			case 'refused': {
				if (known.proved) {
					this.#refuse(query, true);
				}

				return {state: known.proved ? 'never-seen' : 'unknown'};
			}

			case 'never-seen': {
				this.#refuse(query, false);
				const proved = await this.#verifyNeverRun(query, signal);
				this.#refuse(query, proved);
				return {state: proved ? 'never-seen' : 'unknown'};
			}
		}
	}

	async #start(requestAttempt: RequestAttempt, routed: RoutedRequest, runRequest: RunRequest): Promise<RequestResult> {
		const running = this.#runOnce(requestAttempt, routed, runRequest);
		this.#running.set(requestAttempt.requestId, running);
		try {
			return await running;
		} finally {
			this.#running.delete(requestAttempt.requestId);
		}
	}

	async #runOnce(requestAttempt: RequestAttempt, routed: RoutedRequest, runRequest: RunRequest): Promise<RequestResult> {
		const isNew = await this.#verifyBeforeRun(routed);
		if (!isNew) {
			this.#record.refuse(requestAttempt, false, this.#opts.clock.readTimestamp());
			return createOutcomeUnknownFailure(routed.requestId, 'lost-answer', 'an earlier owner of the partition may have run the request');
		}

		const result = await runRequest();
		this.#record.complete(requestAttempt, result, this.#opts.clock.readTimestamp());
		return result;
	}

	async #verifyBeforeRun(routed: RoutedRequest): Promise<boolean> {
		if (routed.isProvedNew) {
			return true;
		}

		const controller = new AbortController();
		const timer = this.#opts.clock.startTimer(Math.min(outcomeQueryTimeoutMs, routed.remainingMs), () => {
			controller.abort();
		});
		const partition = {service: routed.service, partition: routed.partition};
		try {
			return await this.#verifyNeverRun({requestId: routed.requestId, partition, remainingHops: maxHops}, controller.signal);
		} finally {
			timer.close();
		}
	}

	/** Returns whether it is proved that no earlier owner of the partition executed the request. */
	async #verifyNeverRun(request: UnseenRequest, signal: AbortSignal): Promise<boolean> {
		const grant = this.#opts.history.findGrant(request.partition);
		const isIssuedUnderGrant = grant !== undefined && this.#record.isIssuedAfter(request.requestId, grant.ownedSince);
		const earlier = findEarlierOwner(grant, isIssuedUnderGrant);
		if (earlier.kind !== 'predecessor') {
			return earlier.kind === 'nobody';
		}

		if (request.remainingHops === 0) {
			return false;
		}

		const {node} = earlier.predecessor;
		const report = await this.#opts.queryOutcome(node, {
			requestId: request.requestId,
			partition: request.partition,
			attempt: allAttempts,
			targetIncarnation: node.incarnation,
			remainingHops: request.remainingHops - 1,
		}, signal);
		return report.state === 'never-seen';
	}

	#refuse(query: OutcomeQuery, proved: boolean): void {
		this.#record.refuse({requestId: query.requestId, attempt: query.attempt, fingerprint: ''}, proved, this.#opts.clock.readTimestamp());
	}

	async #waitForRunning(requestId: string, signal: AbortSignal): Promise<RequestResult> {
		const cancelled = createOutcomeUnknownFailure(requestId, 'cancelled', 'the request runs; nobody waited for its answer');
		const running = this.#running.get(requestId);
		if (running === undefined || signal.aborted) {
			return cancelled;
		}

		return Promise.race([running, new Promise<RequestResult>(resolve => {
			signal.addEventListener('abort', () => {
				resolve(cancelled);
			}, {once: true});
		})]);
	}
}

function hashRequest(routed: RoutedRequest): string {
	return createHash('sha1').update(`${routed.method} ${routed.path}\n`).update(routed.body).digest('base64');
}
