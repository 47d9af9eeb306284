import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {OutcomeReason} from '@buckthornpoint/backend-link/outcome.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {
	createKeyChallenge, createNodeAnswerHeaders, type CallerHeaders, type RawHeaders,
} from '@buckthornpoint/fleet/headers.js';
import type {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {Route, RouteTable} from '@buckthornpoint/routes/routes.js';
import {AnswerDeliveries} from './answer-deliveries.js';
import type {CallerConnections} from './caller-connections.js';
import type {UploadProblem} from './caller-uploads.js';
import {getPriority, type AcceptedRequest} from './create-routed-request.js';
import {drainBeforeClose, maxDrainedBytes} from './drain-connection.js';
import type {FinishedRequest} from './finished-request.js';
import {nodeStatuses} from './node-statuses.js';
import type {RoutedRequest, RoutingResult} from './routing.js';
import {writeAnswer, type CallerAnswer} from './write-answer.js';

/** A caller's request that has no final answer yet. */
export type PendingRequest = {
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly arrivedMs: number;
	readonly headers: CallerHeaders;
	/** Name of the client account, once it is known. */
	readonly account?: string;
};

type NodeAnswer = {readonly reason: string; readonly retryAfterMs?: number; readonly headers?: RawHeaders; readonly mustClose?: boolean};

/** Dependencies of a responder. */
export type CallerResponderOpts = {
	readonly memory: BodyMemory;
	readonly clock: Clock;
	readonly connections: CallerConnections;
	readonly onFinished: (finished: FinishedRequest) => void;
	/** Called with a description of an error of `onFinished`, which does not keep the request from being answered. */
	readonly onProblem?: (problem: string) => void;
	readonly getRoutesVersion: () => number | undefined;
	/** Whether connections close after their last pending answer. */
	readonly isStopping: () => boolean;
};

type UnreadAnswer = {readonly status: number; readonly reason: OutcomeReason | string; readonly retryAfterMs: number | undefined};

/** Retry-After for a body that does not fit into the memory: other large bodies need some time to be passed on. */
const noMemoryRetryAfterMs = 1000;

/** Retry-After for a request whose handling failed before it was passed on. */
const internalErrorRetryAfterMs = 100;

/** Reason of the refusal of a request over the rate limit of its account. */
const overLimitReason = 'account-limit';

const unreadAnswers: Readonly<Record<UploadProblem, UnreadAnswer>> = {
	'no-memory': {status: nodeStatuses.unavailable, reason: 'no-memory', retryAfterMs: noMemoryRetryAfterMs},
	late: {status: nodeStatuses.requestTimeout, reason: 'the body was not complete in time', retryAfterMs: undefined},
	'too-long': {status: nodeStatuses.tooLarge, reason: 'the body is too long', retryAfterMs: undefined},
};

/** Writes the answers to callers and reports how their requests ended. */
export class CallerResponder {
	readonly #opts: CallerResponderOpts;
	readonly #deliveries: AnswerDeliveries;

	constructor(opts: CallerResponderOpts) {
		this.#opts = opts;
		this.#deliveries = new AnswerDeliveries(opts);
	}

	/** Number of connections that were closed because their answers were not read. */
	get closedConnections(): number {
		return this.#deliveries.closedCount;
	}

	/** Answers a request that was routed. */
	complete(pending: PendingRequest, request: RoutedRequest, {result, table, route}: {readonly result: RoutingResult; readonly table: RouteTable; readonly route: Route}): void {
		const {outcome, tries} = result;
		const report = (status: number, reason: string): void => {
			this.report(pending, {
				route: route.name, service: request.service, priority: request.priority, status, outcome: outcome.kind, reason, tries, routesVersion: table.version,
				...(outcome.kind === 'not-run' && {retryAfterMs: outcome.retryAfterMs}),
			});
		};

		if (outcome.kind === 'answer') {
			const isWritten = this.#write(pending, outcome);
			report(isWritten ? outcome.status : nodeStatuses.badGateway, isWritten ? 'answered' : 'garbled');
			if (!isWritten) {
				this.#writeNodeAnswer(pending, nodeStatuses.badGateway, {reason: 'garbled'});
			}
		} else if (outcome.kind === 'not-run') {
			report(nodeStatuses.unavailable, outcome.reason);
			this.#writeNodeAnswer(pending, nodeStatuses.unavailable, {reason: outcome.reason, retryAfterMs: outcome.retryAfterMs});
		} else {
			const status = outcome.reason === 'timeout' ? nodeStatuses.timeout : nodeStatuses.badGateway;
			report(status, outcome.reason);
			this.#writeNodeAnswer(pending, status, {reason: outcome.reason});
		}
	}

	/** Refuses a request that was not run and will not be. */
	refuse(pending: PendingRequest, reason: OutcomeReason, retryAfterMs: number): void {
		this.report(pending, {
			status: nodeStatuses.unavailable, outcome: 'not-run', reason, retryAfterMs,
		});
		this.#writeRefusal(pending, nodeStatuses.unavailable, {reason, retryAfterMs});
	}

	replyBadRequest(pending: PendingRequest, status: number, reason: string): void {
		this.report(pending, {
			status, outcome: 'bad-request', reason, routesVersion: this.#opts.getRoutesVersion(),
		});
		this.#writeRefusal(pending, status, {reason});
	}

	/** Refuses a request without the key of an account, on a route that needs one. */
	refuseKey(pending: PendingRequest, route: Route, reason: string): void {
		this.report(pending, {
			route: route.name, status: nodeStatuses.unauthorized, outcome: 'bad-request', reason, routesVersion: this.#opts.getRoutesVersion(),
		});
		this.#writeRefusal(pending, nodeStatuses.unauthorized, {reason, headers: createKeyChallenge()});
	}

	/** Refuses a request that is over the rate limit of its account. It was not run and will not be. */
	refuseOverLimit(pending: PendingRequest, accepted: AcceptedRequest, retryAfterMs: number): void {
		this.report(pending, {
			route: accepted.route.name, priority: getPriority(accepted), status: nodeStatuses.tooManyRequests, outcome: 'not-run', reason: overLimitReason, retryAfterMs,
			routesVersion: accepted.table.version,
		});
		this.#writeRefusal(pending, nodeStatuses.tooManyRequests, {reason: overLimitReason, retryAfterMs});
	}

	/** Refuses a request whose body is not read to its end. Its connection closes after the answer. */
	refuseUnread(pending: PendingRequest, problem: UploadProblem): void {
		const {budget} = this.#opts.memory;
		const {status, reason, retryAfterMs} = unreadAnswers[problem];
		this.report(pending, {
			status, outcome: problem === 'no-memory' ? 'not-run' : 'bad-request', reason, retryAfterMs, routesVersion: this.#opts.getRoutesVersion(),
			detail: `the node holds ${budget.usedBytes} of ${budget.limitBytes} bytes for bodies; the rest of the body is not read and the connection closes`,
		});
		this.#writeUnread(pending, status, {reason, ...retryAfterMs !== undefined && {retryAfterMs}});
	}

	/** Answers a request that an error of the node has ended. */
	fail(pending: PendingRequest, kind: 'not-run' | 'unknown' | 'overdue'): void {
		if (kind === 'not-run') {
			this.refuse(pending, 'internal-error', internalErrorRetryAfterMs);
			return;
		}

		const status = kind === 'overdue' ? nodeStatuses.timeout : nodeStatuses.badGateway;
		this.report(pending, {status, outcome: 'unknown', reason: 'internal-error'});
		this.#writeNodeAnswer(pending, status, {reason: 'internal-error'});
	}

	/** Reports how a request ended. */
	report(pending: PendingRequest, finished: Pick<FinishedRequest, 'status' | 'outcome' | 'reason'> & Partial<FinishedRequest>): void {
		try {
			this.#opts.onFinished({
				requestId: pending.headers.requestId,
				route: undefined,
				service: undefined,
				key: pending.headers.key,
				tries: [],
				tookMs: Math.round(this.#readNowMs() - pending.arrivedMs),
				routesVersion: undefined,
				retryAfterMs: undefined,
				...(pending.account !== undefined && {account: pending.account}),
				...finished,
			});
		} catch (error) {
			this.#opts.onProblem?.(`the end of a request was not reported: ${String(error)}`);
		}
	}

	close(): void {
		this.#deliveries.close();
	}

	/** Answers a request whose body, if it has one, was not passed on. A long rest of it is not read. */
	#writeRefusal(pending: PendingRequest, status: number, answer: NodeAnswer): void {
		const {incoming} = pending;
		const {'content-length': length, 'transfer-encoding': encoding} = incoming.headers;
		if (!incoming.complete && (encoding !== undefined || Number(length ?? 0) > maxDrainedBytes)) {
			this.#writeUnread(pending, status, answer);
		} else {
			incoming.resume();
			this.#writeNodeAnswer(pending, status, answer);
		}
	}

	#writeUnread(pending: PendingRequest, status: number, answer: NodeAnswer): void {
		drainBeforeClose(pending.incoming.socket, this.#opts.clock);
		this.#writeNodeAnswer(pending, status, {...answer, mustClose: true});
	}

	#writeNodeAnswer(pending: PendingRequest, status: number, {reason, retryAfterMs, headers = [], mustClose}: NodeAnswer): void {
		const {connections} = this.#opts;
		const isUnneeded = retryAfterMs !== undefined && connections.isNearLimit && connections.isLastAnswer(pending.incoming.socket);
		this.#write(pending, {
			status,
			headers: ['Content-Type', 'application/json', ...createNodeAnswerHeaders(pending.headers.requestId, retryAfterMs), ...headers],
			body: Buffer.from(JSON.stringify({reason})),
			isFramed: true,
		}, mustClose === true || isUnneeded);
	}

	/** Returns false if the answer can't be passed on to the caller. */
	#write({incoming, response}: PendingRequest, answer: CallerAnswer, mustClose = false): boolean {
		return writeAnswer(answer, {
			socket: incoming.socket, response, connections: this.#opts.connections, isStopping: this.#opts.isStopping(), mustClose, deliveries: this.#deliveries,
		});
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
