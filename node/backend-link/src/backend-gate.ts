import type {SharingCounts} from '@buckthornpoint/admission/fair-sharing.js';
import {SlotQueue} from '@buckthornpoint/admission/slot-queue.js';
import {createBackendRequestHeaders} from '@buckthornpoint/fleet/headers.js';
import type {BackendInstanceKey, KeyRange} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {RangeLoad} from '@buckthornpoint/key-ranges/messages.js';
import type {Exchange} from './backend-connection.js';
import type {BackendGateOpts} from './backend-gate-opts.js';
import {BackendPool} from './backend-pool.js';
import {BackendStatistics} from './backend-statistics.js';
import {convertOwnerRequest, convertRefusal} from './convert-slot-request.js';
import {createOwnerLoad} from './create-owner-load.js';
import {DemandMeter} from './demand-meter.js';
import type {GateBackend} from './gate-backend.js';
import {checkRequest} from './check-request.js';
import {classifyResponse, evaluateAnswer, releaseUndelivered} from './classify-response.js';
import {
	createNotRun, type Outcome, type OwnerLoad, type OwnerRequest,
} from './outcome.js';
import {RefusedConnections} from './refused-connections.js';
import {ServerAdvertisement} from './server-advertisement.js';
import {SilenceWatch} from './silence-watch.js';

/** Cancels a request after it was admitted or routed. */
export type CancelHandle = {
	/** Abandons the request. At the backend server a running request is aborted only if it is idempotent; others run to completion. */
	cancel(): void;
};

/** How long after a request's deadline its connection is closed: the server itself should answer at the deadline. */
const answerGraceMs = 80;

/** A request that was sent to the server, as input to the evaluation of its exchange. */
type SentRequest = {readonly isTimedOut: boolean; readonly sentMs: number; readonly advertisement: ServerAdvertisement | undefined};

/** Retry-After for a server that is silent or refuses connections: within this time the other nodes learn of it and route elsewhere. */
const unavailableRetryAfterMs = 200;

/**
 * All requests to the local backend server pass through this gate. It limits how many run at once, and states for each refused
 * or failed request whether the server may have run it.
 */
export class BackendGate {
	readonly #opts: BackendGateOpts;
	readonly #queue = new SlotQueue({slots: 1});
	readonly #demandMeter: DemandMeter;
	#pool: BackendPool | undefined;
	#backend: GateBackend | undefined;
	#advertisement: ServerAdvertisement | undefined;
	#statistics = new BackendStatistics();
	readonly #silenceWatch = new SilenceWatch();
	readonly #sentMeter: DemandMeter;
	readonly #refusedConnections = new RefusedConnections();

	constructor(opts: BackendGateOpts) {
		this.#opts = opts;
		this.#demandMeter = new DemandMeter(this.#readNowMs());
		this.#sentMeter = new DemandMeter(this.#readNowMs());
	}

	/** Sets the current instance and state of the backend server; undefined if there is none. A change of instance resets the statistics and refuses waiting requests. */
	setBackend(backend: GateBackend | undefined): void {
		if (backend?.key !== this.#backend?.key) {
			this.#pool?.close();
			this.#pool = undefined;
			this.#statistics = new BackendStatistics();
			this.recordLiveness();
			this.#queue.refuseWaiting('closed');
			this.#queue.setRateLimit(undefined, this.#readNowMs());
			this.#advertisement = backend === undefined ? undefined : this.#createAdvertisement(backend.key);
		}

		this.#backend = backend;
		if (backend !== undefined) {
			this.#queue.setSlots(backend.slots);
			this.#queue.setColdLimit(backend.coldPerS);
			this.#queue.setSharing(backend.isShared ?? false);
			this.#queue.startWaiting(this.#readNowMs());
		}
	}

	/** Records a liveness signal, such as a heartbeat. */
	recordLiveness(): void {
		this.#silenceWatch.recordLiveness();
		this.#refusedConnections.recordLiveness();
	}

	/** Runs a request at the backend server or refuses it with a reason. Calls `finish` once. */
	admit(request: OwnerRequest, finish: (outcome: Outcome) => void): CancelHandle {
		const nowMs = this.#readNowMs();
		this.#demandMeter.recordOffered(request.key);
		if (request.advertised !== undefined) {
			this.#advertisement?.applyPeerState(request.advertised, nowMs);
		}

		const refusal = checkRequest(request, this.#backend, {nowMs, isArriving: true, isHeld: this.#opts.isHeld})
			?? (this.#silenceWatch.maySend(nowMs) ? undefined : createNotRun('silent', unavailableRetryAfterMs));
		if (refusal !== undefined) {
			finish(refusal);
			return {cancel: () => undefined};
		}

		let abort: (() => void) | undefined;
		const removeWaiting = this.#queue.add({
			...convertOwnerRequest(request, nowMs),
			start: () => {
				abort = this.#run(request, nowMs + request.remainingMs, finish);
			},
			refuse: refused => {
				finish(convertRefusal(refused, this.#backend?.key));
			},
		}, nowMs);
		return {
			cancel() {
				if (abort === undefined) {
					removeWaiting();
				} else if (request.isIdempotent) {
					abort();
				}
			},
		};
	}

	/** Advances to the present time: starts or refuses waiting requests, updates the demand, closes idle connections. */
	advance(): void {
		const nowMs = this.#readNowMs();
		this.#queue.setSlowness(this.#statistics.slowness.readFactor(nowMs), nowMs);
		this.#queue.expireWaiting(nowMs);
		this.#queue.startWaiting(nowMs);
		this.#demandMeter.advance(nowMs);
		this.#sentMeter.advance(nowMs);
		this.#pool?.closeIdle();
	}

	/** With `hasState`, the load includes what the server advertises, even if that is nothing. */
	readLoad(hasState = false): OwnerLoad {
		const nowMs = this.#readNowMs();
		return createOwnerLoad({
			queue: this.#queue, statistics: this.#statistics, advertised: this.#advertisement?.read(nowMs, hasState), nowMs,
		});
	}

	/** Promised retry times and displaced requests since the start of the node. */
	readSharingCounts(): SharingCounts {
		return this.#queue.readSharingCounts();
	}

	/** Offered work as a share of what the server can serve, plus the failure share: a failing server counts as busier than it is. */
	readDemand(): number {
		return (this.#demandMeter.requestsPerSecond / this.readCapacityPerS()) + this.#statistics.failureShare;
	}

	/** Requests per second that the server can serve with its slots and within the limit that it advertises. */
	readCapacityPerS(): number {
		return this.#statistics.estimateCapacityPerS(this.#queue.readLoad().slots, this.readLimitPerS());
	}

	readUsualRatePerS(): number | undefined {
		return this.#statistics.estimateRatePerS(this.#queue.readLoad().slots, this.readLimitPerS());
	}

	/** Rate of the requests that are offered to the server. */
	readOfferedRequestsPerSecond(): number {
		return this.#demandMeter.requestsPerSecond;
	}

	/** The request limit that the server advertises, per second; undefined if it advertises none. */
	readLimitPerS(): number | undefined {
		return this.#advertisement?.limitPerS;
	}

	/** Rate of the requests that were sent to the server. */
	readSentRequestsPerSecond(): number {
		return this.#sentMeter.requestsPerSecond;
	}

	listRangeLoads(ranges: readonly KeyRange[], inParts = false): readonly RangeLoad[] {
		const listed = this.#backend?.isDivided === true ? ranges : [];
		return inParts ? this.#demandMeter.listPartLoads(listed, this.readCapacityPerS()) : this.#demandMeter.listRangeLoads(listed);
	}

	/** Refuses waiting and further requests with `retryAfterMs`. Running requests continue. */
	stop(retryAfterMs: number): void {
		this.#queue.close(retryAfterMs);
	}

	countRunning(): number {
		return this.#queue.readLoad().running;
	}

	close(): void {
		this.#queue.close();
		this.#pool?.close();
	}

	#run(request: OwnerRequest, endMs: number, finish: (outcome: Outcome) => void): () => void {
		const startMs = this.#readNowMs();
		const backend = this.#backend;
		const advertisement = this.#advertisement;
		const refusal = checkRequest(request, backend, {nowMs: startMs, isArriving: false, isHeld: this.#opts.isHeld});
		if (refusal !== undefined || backend === undefined) {
			// Releases the slot only after the queue has recorded that it was taken.
			queueMicrotask(() => {
				this.#queue.release(request.route, undefined, this.#readNowMs());
			});
			finish(refusal ?? createNotRun('no-backend', unavailableRetryAfterMs));
			return () => undefined;
		}

		this.#sentMeter.recordOffered(undefined);
		let isTimedOut = false;
		let isCancelled = false;
		const timer = this.#opts.clock.startTimer(endMs - startMs + answerGraceMs, () => {
			isTimedOut = true;
			abort();
		});
		const abort = this.#getPool().send({
			method: request.method,
			path: request.path,
			headers: createBackendRequestHeaders(request.headers, {remainingMs: endMs - startMs, backendId: backend.id, callerService: request.callerService}),
			body: request.body,
		}, request.requestId, exchange => {
			timer.close();
			const outcome = isCancelled ? {kind: 'unknown', reason: 'cancelled'} as const : this.#evaluateExchange(exchange, {isTimedOut, sentMs: startMs, advertisement});
			releaseUndelivered(exchange, outcome);
			const tookMs = exchange.kind === 'answered' && outcome.kind === 'answer' ? this.#readNowMs() - startMs : undefined;
			this.#recordOutcome(outcome, {isTimedOut, tookMs});
			this.#queue.release(request.route, tookMs, this.#readNowMs());
			finish(outcome);
		});
		return () => {
			isCancelled = true;
			abort();
		};
	}

	#evaluateExchange(exchange: Exchange, {isTimedOut, sentMs, advertisement}: SentRequest): Outcome {
		if (exchange.kind === 'not-sent') {
			if (exchange.isRefused && this.#refusedConnections.record(this.#readNowMs())) {
				this.#opts.onServerEnded();
			}

			return createNotRun(exchange.isRefused ? 'connection-refused' : 'connection-lost', unavailableRetryAfterMs);
		}

		if (exchange.kind === 'lost') {
			return {kind: 'unknown', reason: isTimedOut ? 'timeout' : 'connection-lost'};
		}

		const {
			outcome, coldMs, slowness, limitPerS, isLeaving,
		} = classifyResponse(exchange.response, exchange.fields);
		const nowMs = this.#readNowMs();
		this.#refusedConnections.recordLiveness();
		advertisement?.record({limitPerS, isLeaving}, {sentMs, nowMs});
		if (slowness !== undefined) {
			this.#statistics.slowness.record(slowness, nowMs);
		}

		if (coldMs !== undefined) {
			this.#opts.onCold(coldMs);
		}

		return outcome;
	}

	#createAdvertisement(key: BackendInstanceKey): ServerAdvertisement {
		return new ServerAdvertisement(key, {
			onLimitChange: (limitPerS, nowMs) => {
				this.#queue.setRateLimit(limitPerS, nowMs);
				this.#opts.onLimitChange(limitPerS, this.#sentMeter.requestsPerSecond);
			},
			onLeaving: this.#opts.onLeaving,
		});
	}

	#recordOutcome(outcome: Outcome, {isTimedOut, tookMs}: {readonly isTimedOut: boolean; readonly tookMs: number | undefined}): void {
		this.#statistics.record(outcome, tookMs, this.#statistics.slowness.readFactor(this.#readNowMs()));
		if (isTimedOut) {
			this.#silenceWatch.recordTimeout();
		} else if (outcome.kind === 'answer') {
			this.#silenceWatch.recordLiveness();
		}
	}

	#getPool(): BackendPool {
		this.#pool ??= new BackendPool({
			host: this.#opts.host,
			port: this.#opts.port,
			readNowMs: () => this.#readNowMs(),
			evaluateAnswer,
			...this.#opts.memory !== undefined && {memory: this.#opts.memory},
			...this.#opts.onInvalidAnswer !== undefined && {onInvalidAnswer: this.#opts.onInvalidAnswer},
		});
		return this.#pool;
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
