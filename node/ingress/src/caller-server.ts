import type {IncomingMessage, ServerResponse} from 'node:http';
import type {OutcomeReason} from '@buckthornpoint/backend-link/outcome.js';
import {readCallerHeaders} from '@buckthornpoint/fleet/headers.js';
import {createUnlimitedMemory} from '@buckthornpoint/frames/body-blocks.js';
import {WeightedSplit} from '@buckthornpoint/routes/split.js';
import {AccountCharges} from './account-charges.js';
import {AttemptAges} from './attempt-ages.js';
import {CallerConnections} from './caller-connections.js';
import {CallerListener} from './caller-listener.js';
import {CallerResponder, type PendingRequest} from './caller-responder.js';
import {heldUpRetryAfterMs, RequestGuard} from './request-guard.js';
import type {CallerServerOpts} from './caller-server-opts.js';
import {CallerUploads, type UploadedBody} from './caller-uploads.js';
import {checkRequestHead} from './check-request-head.js';
import {createRoutedRequest, type AcceptedRequest} from './create-routed-request.js';
import {runInLaterTurn} from './later-turn.js';
import {TurnQueue} from './turn-queue.js';

/** Retry-After for a node that has not received its routes yet. */
const noConfigurationRetryAfterMs = 500;

/** Requests under way on one connection; further ones are refused, so that their caller is not served at the expense of others. */
const maxPendingPerConnection = 64;

/** Retry-After for a request beyond that limit: most requests take less than this. */
const tooManyPendingRetryAfterMs = 200;

/** Time from the end of a planned stop until the restarted process has received its routes and accepts requests. */
export const expectedRestartMs = 1000;

/** Time in each turn of the event loop for requests that begin. */
const maxStartMsPerTurn = 3;

/** HTTP server for the callers and the backend server of this VM. */
export class CallerServer {
	readonly #opts: CallerServerOpts;
	readonly #serviceSplit = new WeightedSplit();
	readonly #attemptAges = new AttemptAges();
	readonly #connections: CallerConnections;
	readonly #uploads: CallerUploads;
	readonly #responder: CallerResponder;
	readonly #charges: AccountCharges;
	readonly #listener: CallerListener;
	readonly #starts: TurnQueue;
	readonly #guard: RequestGuard;
	#pendingCount = 0;
	#hasStoppedListening = false;
	/** During a planned stop: the time on the node's clock at which requests still pending are ended. */
	#stopMs: number | undefined;

	constructor(opts: CallerServerOpts) {
		this.#opts = opts;
		this.#connections = new CallerConnections(opts.clock, opts.maxConnections);
		this.#charges = new AccountCharges({limits: opts.accountLimits, clock: opts.clock, connections: this.#connections});
		const memory = opts.memory ?? createUnlimitedMemory();
		this.#uploads = new CallerUploads(memory, opts.clock);
		this.#responder = new CallerResponder({
			...opts, memory, connections: this.#connections, getRoutesVersion: () => opts.view.routeTable?.version, isStopping: () => this.#stopMs !== undefined,
		});
		this.#guard = new RequestGuard({clock: opts.clock, responder: this.#responder, onProblem: problem => opts.onProblem?.(problem)});
		this.#starts = new TurnQueue({clock: opts.clock, maxMsPerTurn: maxStartMsPerTurn});
		this.#listener = new CallerListener({
			clock: opts.clock,
			connections: this.#connections,
			onRequest: (incoming, response) => {
				this.#handle(incoming, response);
			},
			onNoneWaiting: () => {
				this.#closeIfNonePending();
			},
			...opts.onAcceptError !== undefined && {onError: opts.onAcceptError},
		});
	}

	/** Number of connections that were accepted since the start. */
	get acceptedConnections(): number {
		return this.#listener.acceptedCount;
	}

	/** Number of connections that were closed in favour of others or because their answers were not read. */
	get closedConnections(): number {
		return this.#connections.closedCount + this.#listener.closedUnreadCount + this.#responder.closedConnections;
	}

	async listen(host: string, port: number): Promise<void> {
		await this.#listener.listen(host, port);
	}

	/** The port in use, chosen by the system if the server was told to listen on port 0; 0 while the server doesn't listen. */
	getPort(): number {
		return this.#listener.getPort();
	}

	/** Number of requests without a final answer. */
	countOpen(): number {
		return this.#pendingCount;
	}

	/** Starts a planned stop: connections close after their pending answers, and requests that may last beyond `stopMs` are refused. */
	startStop(stopMs: number): void {
		this.#stopMs = stopMs;
	}

	/** Refuses all further requests and, once no answer is pending, stops listening and closes idle connections. */
	stopListening(): void {
		this.#stopMs = Number.NEGATIVE_INFINITY;
		this.#hasStoppedListening = true;
		this.#closeIfNonePending();
	}

	close(): void {
		this.#guard.close();
		this.#starts.close();
		this.#uploads.close();
		this.#responder.close();
		this.#listener.close();
	}

	/** Waits for pending answers: closing a connection would truncate an answer that is written but not sent yet. */
	#closeIfNonePending(): void {
		if (!this.#hasStoppedListening || this.#pendingCount > 0 || this.#listener.waitingCount > 0) {
			return;
		}

		// After a stall of the process, connections may wait in the accept queue, and requests on kept connections may be unread.
		// They would be reset; accept, read and answer them first, which takes two turns of the event loop.
		runInLaterTurn(() => {
			if (this.#pendingCount === 0 && this.#listener.waitingCount === 0) {
				this.#listener.stop();
			}
		});
	}

	#handle(incoming: IncomingMessage, response: ServerResponse): void {
		const {socket} = incoming;
		if (!this.#connections.addRequest(incoming)) {
			// The connection closes after an earlier answer, so this request could not be answered and is not started.
			return;
		}

		const pending: PendingRequest = {
			incoming, response, arrivedMs: this.#listener.estimateArrivalMs(socket), headers: readCallerHeaders(incoming.headers),
		};
		this.#pendingCount++;
		response.sendDate = false;
		this.#connections.watchEnd(socket, response, () => {
			this.#guard.remove(response);
			this.#pendingCount--;
			this.#connections.removeRequest(socket);
			this.#closeIfNonePending();
		});
		this.#guard.run(pending, false, () => {
			this.#check(pending);
		});
	}

	#check(pending: PendingRequest): void {
		const {incoming} = pending;
		if (this.#connections.countPending(incoming.socket) > maxPendingPerConnection) {
			this.#responder.refuse(pending, 'overloaded', tooManyPendingRetryAfterMs);
			return;
		}

		const {view} = this.#opts;
		const {routeTable: table, routeIndex} = view;
		if (table === undefined || routeIndex === undefined) {
			this.#responder.refuse(pending, 'no-configuration', noConfigurationRetryAfterMs);
			return;
		}

		this.#listener.applyLimits(table.limits);
		const checked = checkRequestHead(incoming, pending.headers, {table, routeIndex, accountIndex: view.accountIndex});
		if ('keyProblem' in checked) {
			this.#responder.refuseKey(pending, checked.route, checked.keyProblem);
		} else if ('status' in checked) {
			this.#responder.replyBadRequest(pending, checked.status, checked.reason);
		} else {
			const {account} = checked;
			this.#admit(account === undefined ? pending : {...pending, account: account.name}, checked);
		}
	}

	/** Counts a request against the limit of its account, and reads its body if it is within the limit. */
	#admit(pending: PendingRequest, accepted: AcceptedRequest): void {
		if (this.#getEndMs(pending, accepted) <= this.#readNowMs()) {
			this.#responder.refuse(pending, 'held-up', heldUpRetryAfterMs);
			return;
		}

		const retryAfterMs = this.#charges.consume(accepted.account);
		if (retryAfterMs === undefined) {
			this.#readBody(pending, accepted);
		} else {
			this.#responder.refuseOverLimit(pending, accepted, retryAfterMs);
		}
	}

	#readBody(pending: PendingRequest, accepted: AcceptedRequest): void {
		const {incoming} = pending;
		const {table, account} = accepted;
		const endMs = this.#getEndMs(pending, accepted);
		this.#guard.add(pending, endMs);
		const endReading = this.#charges.watchReading(pending, account);
		this.#uploads.read(incoming, {limitBytes: table.limits.bodyBytes, endMs}, end => {
			endReading();
			if ('body' in end) {
				this.#connections.setRead(incoming);
				this.#routeIfConnected(pending, accepted, end);
			} else {
				this.#charges.release(account);
				this.#responder.refuseUnread(pending, end.problem);
			}
		});
	}

	/**
	 * After a stall of the process, a request and its caller's close may both be waiting, and the close is read one turn of the
	 * event loop later. The request starts only after that turn, and only if its caller is still connected.
	 */
	#routeIfConnected(pending: PendingRequest, accepted: AcceptedRequest, uploaded: UploadedBody): void {
		this.#guard.setWaiting(pending.response, true);
		runInLaterTurn(() => {
			this.#starts.add(() => {
				const {incoming: {socket}, response} = pending;
				this.#guard.setWaiting(response, false);
				if (response.headersSent) {
					uploaded.release();
					this.#charges.release(accepted.account);
				} else if (socket.destroyed || socket.readableEnded) {
					uploaded.release();
					this.#charges.release(accepted.account);
					this.#responder.report(pending, {
						route: accepted.route.name, status: 0, outcome: 'cancelled', reason: 'the caller left before the request began', routesVersion: accepted.table.version,
					});
				} else {
					const hasSucceeded = this.#guard.run(pending, true, () => {
						this.#route(pending, accepted, uploaded);
					});
					if (!hasSucceeded) {
						uploaded.release();
					}
				}
			});
		});
	}

	#route(pending: PendingRequest, {table, route, account}: AcceptedRequest, {body, release}: UploadedBody): void {
		const {incoming, response, headers, arrivedMs} = pending;
		const service = this.#serviceSplit.choose(route, table.version);
		const request = createRoutedRequest({
			incoming, headers, arrivedMs, body,
		}, {
			table, route, service, account, callerService: this.#opts.getCallerService(), ...this.#attemptAges.measureAges(route.name, headers.deadlineMs, arrivedMs),
		});
		const refuse = (reason: OutcomeReason, retryAfterMs: number): void => {
			release();
			this.#charges.release(account);
			this.#responder.refuse(pending, reason, retryAfterMs);
		};

		const nowMs = this.#readNowMs();
		if (request.endMs <= nowMs) {
			refuse('held-up', heldUpRetryAfterMs);
			return;
		}

		if (this.#stopMs !== undefined && request.endMs > this.#stopMs) {
			refuse('stopping', Math.max(0, this.#stopMs - nowMs) + expectedRestartMs);
			return;
		}

		const handle = this.#opts.router.route(request, result => {
			release();
			if (result.outcome.kind === 'not-run') {
				this.#charges.release(account);
			}

			this.#guard.run(pending, true, () => {
				this.#responder.complete(pending, request, {result, table, route});
			});
		});
		this.#connections.watchEnd(incoming.socket, response, () => {
			if (!response.writableFinished) {
				handle.cancel();
				release();
				this.#responder.report(pending, {
					route: route.name, service, status: 0, outcome: 'cancelled', reason: 'the caller left', routesVersion: table.version,
				});
			}
		});
	}

	#getEndMs({arrivedMs, headers}: PendingRequest, {route}: AcceptedRequest): number {
		return arrivedMs + Math.min(headers.deadlineMs ?? route.timeoutMs, route.timeoutMs);
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
