import {createHash} from 'node:crypto';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {OutcomeRecord, type OutcomeRecordOpts, type Sending} from '@buckthornpoint/outcomes/outcome-record.js';
import {
	createNotRun, createOutcomeUnknown, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import type {PartitionId} from '@buckthornpoint/types/identity.js';
import type {AskOutcome, OutcomeQuestion, OutcomeReport} from './outcome-query.js';
import {findEarlierOwner, type OwnershipHistory} from './ownership-history.js';

const maxHops = 3;
const askTimeoutMs = 500;
const everyAttempt = 0xFF_FF_FF_FF;

/** What a gate works with. */
export type OnceGateOpts = {
	readonly clock: Clock;
	readonly history: OwnershipHistory;
	readonly askOutcome: AskOutcome;
	readonly record?: OutcomeRecordOpts;
};

type RequestOrigin = {
	readonly requestId: string;
	readonly partition: PartitionId;
	/** How many earlier owners may be asked. */
	readonly remainingHops: number;
};

type RunRequest = () => Promise<RequestResult>;

/** Runs each non-idempotent request at most once, and remembers its outcome. */
export class OnceGate {
	readonly #opts: OnceGateOpts;
	readonly #record: OutcomeRecord;
	readonly #running = new Map<string, Promise<RequestResult>>();

	constructor(opts: OnceGateOpts) {
		this.#opts = opts;
		this.#record = new OutcomeRecord(opts.record);
	}

	/** Tells whether the request runs here or ran here, so that its result needs no lease. */
	hasOutcome(requestId: string): boolean {
		const {state} = this.#record.findOutcome(requestId, this.#opts.clock.readMoment());
		return state === 'running' || state === 'finished';
	}

	/** Runs the request if no owner of its partition can have run it; returns the known result or joins the run otherwise. */
	async run(routed: RoutedRequest, runRequest: RunRequest, signal: AbortSignal): Promise<RequestResult> {
		const {requestId} = routed;
		const sending = {requestId, attempt: routed.attempt, fingerprint: hashRequest(routed)};
		const verdict = this.#record.admit(sending, this.#opts.clock.readMoment());
		switch (verdict.kind) {
			case 'begun': {
				return this.#start(sending, routed, runRequest);
			}

			case 'running': {
				return this.#waitForRunning(requestId, signal);
			}

			case 'finished': {
				return verdict.result ?? createOutcomeUnknown(requestId, 'lost-answer', 'the request ran, and its answer is no longer kept');
			}

			case 'reused': {
				return createNotRun(requestId, 'request-id-reused', 'another request was sent under the same id');
			}

			case 'refused': {
				return verdict.proved
					? createNotRun(requestId, 'cancelled', 'this sending came after it had been given up')
					: createOutcomeUnknown(requestId, 'lost-answer', 'an earlier owner of the partition may have run the request');
			}

			case 'invalid-id': {
				return createNotRun(requestId, 'invalid-request', 'the id of a request that is not idempotent must be a UUIDv7 in lower case');
			}

			case 'unknown': {
				return createOutcomeUnknown(requestId, 'lost-answer', 'the id is older than the record of outcomes, or its issuer\'s clock runs ahead');
			}
		}
	}

	/** Says what became of a request; one that was not seen is refused from now on. */
	async findOutcome(question: OutcomeQuestion, signal: AbortSignal): Promise<OutcomeReport> {
		const now = this.#opts.clock.readMoment();
		const known = this.#record.findOutcome(question.requestId, now);
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
					this.#refuse(question, true);
				}

				return {state: known.proved ? 'never-seen' : 'unknown'};
			}

			case 'never-seen': {
				this.#refuse(question, false);
				const proved = await this.#verifyNeverRun(question, signal);
				this.#refuse(question, proved);
				return {state: proved ? 'never-seen' : 'unknown'};
			}
		}
	}

	async #start(sending: Sending, routed: RoutedRequest, runRequest: RunRequest): Promise<RequestResult> {
		const running = this.#runOnce(sending, routed, runRequest);
		this.#running.set(sending.requestId, running);
		try {
			return await running;
		} finally {
			this.#running.delete(sending.requestId);
		}
	}

	async #runOnce(sending: Sending, routed: RoutedRequest, runRequest: RunRequest): Promise<RequestResult> {
		const isNew = await this.#verifyBeforeRun(routed);
		if (!isNew) {
			this.#record.refuse(sending, false, this.#opts.clock.readMoment());
			return createOutcomeUnknown(routed.requestId, 'lost-answer', 'an earlier owner of the partition may have run the request');
		}

		const result = await runRequest();
		this.#record.complete(sending, result, this.#opts.clock.readMoment());
		return result;
	}

	async #verifyBeforeRun(routed: RoutedRequest): Promise<boolean> {
		if (routed.isProvedNew) {
			return true;
		}

		const controller = new AbortController();
		const timer = this.#opts.clock.startTimer(Math.min(askTimeoutMs, routed.remainingMs), () => {
			controller.abort();
		});
		const partition = {service: routed.service, partition: routed.partition};
		try {
			return await this.#verifyNeverRun({requestId: routed.requestId, partition, remainingHops: maxHops}, controller.signal);
		} finally {
			timer.close();
		}
	}

	/** Returns whether it is proved that no earlier owner of the partition ran the request. */
	async #verifyNeverRun(request: RequestOrigin, signal: AbortSignal): Promise<boolean> {
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
		const report = await this.#opts.askOutcome(node, {
			requestId: request.requestId,
			partition: request.partition,
			attempt: everyAttempt,
			targetIncarnation: node.incarnation,
			remainingHops: request.remainingHops - 1,
		}, signal);
		return report.state === 'never-seen';
	}

	#refuse(question: OutcomeQuestion, proved: boolean): void {
		this.#record.refuse({requestId: question.requestId, attempt: question.attempt, fingerprint: ''}, proved, this.#opts.clock.readMoment());
	}

	async #waitForRunning(requestId: string, signal: AbortSignal): Promise<RequestResult> {
		const given = createOutcomeUnknown(requestId, 'cancelled', 'the request runs; nobody waited for its answer');
		const running = this.#running.get(requestId);
		if (running === undefined || signal.aborted) {
			return given;
		}

		return Promise.race([running, new Promise<RequestResult>(resolve => {
			signal.addEventListener('abort', () => {
				resolve(given);
			}, {once: true});
		})]);
	}
}

function hashRequest(routed: RoutedRequest): string {
	return createHash('sha1').update(`${routed.method} ${routed.path}\n`).update(routed.body).digest('base64');
}
