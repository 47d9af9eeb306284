import {ConcurrencyLimit} from '@buckthornpoint/admission/concurrency-limit.js';
import {addMilliseconds, type Clock, type Timestamp} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Metrics, MetricTags} from '@buckthornpoint/metrics/metrics.js';
import type {LoadReport} from '@buckthornpoint/ownership/messages.js';
import type {OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import {createLinkedSignal} from '@buckthornpoint/tasks/linked-signal.js';
import type {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import type {Configuration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {PartitionId} from '@buckthornpoint/types/identity.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {
	createNotRunFailure, type FailureReason, type RequestFailure, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import {AdmissionGate} from './admission-gate.js';
import {BackendClient, isSameInstance} from './backend-client.js';
import {checkPermission, measureTimeBudgetMs} from './check-permission.js';
import {LoadMeter} from './load-meter.js';
import {AtMostOnceGate} from './at-most-once-gate.js';
import type {QueryOutcome, OutcomeQuery, OutcomeReport} from './outcome-query.js';
import {OwnershipHistory} from './ownership-history.js';
import {RunningRequests, type RunningRequest} from './running-requests.js';

const defaultMaxConnections = 100;
const defaultColdConcurrency = 2;
const spareConnections = 2;
const cancelledSlotReleaseDelayMs = 20;

/** Dependencies of a `Guard`. */
export type GuardOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	/** The lease and grants of the node, published by the cell task. */
	readonly ownership: ObservableValue<OwnershipView>;
	/** The local backend server; undefined until it has announced itself. */
	readonly backendServer: ObservableValue<BackendServer | undefined>;
	readonly configuration: ObservableValue<Configuration>;
	/** Queries another node for the outcome of a request. */
	readonly queryOutcome: QueryOutcome;
	/** Called when no request of a partition that is being handed over is running or waiting. */
	readonly onDrained: (partition: PartitionId) => void;
};

/** State of one backend server instance. */
type BackendInstance = {
	readonly server: BackendServer;
	readonly client: BackendClient;
	readonly gate: AdmissionGate;
	readonly limit: ConcurrencyLimit;
};

/** Controls access to the local backend server: every request passes through it. */
export class Guard {
	readonly #opts: GuardOpts;
	readonly #unsubscribes: ReadonlyArray<() => void>;
	readonly #history = new OwnershipHistory();
	readonly #running: RunningRequests;
	readonly #atMostOnce: AtMostOnceGate;
	readonly #meter = new LoadMeter();
	#backend: BackendInstance | undefined;
	#leavingSince: Timestamp | undefined;
	#isClosed = false;

	constructor(opts: GuardOpts) {
		this.#opts = opts;
		this.#running = new RunningRequests(opts);
		this.#atMostOnce = new AtMostOnceGate({clock: opts.clock, history: this.#history, queryOutcome: opts.queryOutcome});
		this.#history.record(opts.ownership.read());
		this.#replaceBackend(opts.backendServer.read());
		this.#unsubscribes = [
			opts.ownership.subscribe(view => {
				this.#history.record(view);
			}),
			opts.backendServer.subscribe(backendServer => {
				this.#replaceBackend(backendServer);
			}),
		];
	}

	/** Sends a request to the local backend server if this node may serve its partition now. Waiting requests are ordered by request class. */
	async handle(routed: RoutedRequest, signal: AbortSignal): Promise<RequestResult> {
		if (this.#isClosed) {
			return createNotRunFailure(routed.requestId, 'stopping', 'the node is stopping');
		}

		const {node} = this.#opts.ownership.read();
		if (routed.target.incarnation !== node.incarnation) {
			return createNotRunFailure(routed.requestId, 'incarnation-mismatch', 'the attempt names another run of this node');
		}

		const isKnown = !routed.idempotent && this.#atMostOnce.hasOutcome(routed.requestId);
		const permission = isKnown ? undefined : this.#checkPermission(routed, false);
		if (permission?.isErr()) {
			return permission.error;
		}

		const deadline = addMilliseconds(this.#opts.clock.readTimestamp(), routed.remainingMs);
		return routed.idempotent
			? this.#admit(routed, deadline, signal)
			: this.#atMostOnce.run(routed, async () => this.#admit(routed, deadline, signal), signal);
	}

	/** Returns the outcome of a request. If this node has not seen the request, it refuses the queried attempt and earlier ones from then on. */
	async findOutcome(query: OutcomeQuery, signal: AbortSignal): Promise<OutcomeReport> {
		const {node} = this.#opts.ownership.read();
		return query.targetIncarnation === node.incarnation
			? this.#atMostOnce.findOutcome(query, signal)
			: {state: 'unknown'};
	}

	/** Returns the load since the previous call. Load reports are sent to the controller of the cell. */
	measureLoad(): LoadReport {
		return this.#meter.measure(this.#backend?.limit.isCold() ?? true);
	}

	/** Cancels all requests and closes the connections to the backend server. */
	async close(): Promise<void> {
		this.#isClosed = true;
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}

		this.#running.close();
		this.#backend?.gate.close();
		await this.#backend?.client.close();
	}

	/** Waits until the concurrency limit of the backend server admits the request, then sends it. */
	async #admit(routed: RoutedRequest, deadline: Timestamp, signal: AbortSignal): Promise<RequestResult> {
		const backend = this.#backend;
		if (backend === undefined) {
			return createUnreachableFailure(routed);
		}

		const running = this.#running.add(routed, {needsGrant: this.#mustHaveGrant(routed)});
		const linked = createLinkedSignal([signal, running.signal]);
		const tags = createTags(routed);
		const arrival = this.#opts.clock.readTimestamp();
		try {
			const admission = await backend.gate.admit({
				requestClass: routed.requestClass, deadlineMs: deadline.monotonicMs, signal: linked.signal,
			});
			this.#opts.metrics.recordValue('guard.wait', this.#opts.clock.readTimestamp().monotonicMs - arrival.monotonicMs, tags);
			switch (admission.kind) {
				case 'admitted': {
					return await this.#deliver(routed, {
						backend, running, deadline, signal,
					});
				}

				case 'cancelled': {
					return createNotRunFailure(routed.requestId, getCancelReason(signal, running.signal), 'the request was given up before it was handed over');
				}

				case 'shed': {
					this.#opts.metrics.addCount('guard.shed', 1, tags);
					return createNotRunFailure(routed.requestId, 'overloaded', 'the backend server could not begin the request in time', admission.retryAfterMs);
				}
			}
		} finally {
			linked.close();
			running.close();
		}
	}

	/** Checks again that the node may serve the partition, since the lease may have ended while the request waited, then sends the request. Always frees the slot. */
	async #deliver(routed: RoutedRequest, opts: Delivery): Promise<RequestResult> {
		const {backend, running, deadline, signal} = opts;
		const start = this.#opts.clock.readTimestamp();
		const cancel = (): void => {
			running.cancel('cancelled');
		};

		try {
			const permission = backend === this.#backend ? this.#checkPermission(routed, true) : undefined;
			if (permission === undefined) {
				return createUnreachableFailure(routed);
			}

			if (permission.isErr()) {
				return permission.error;
			}

			if (routed.idempotent) {
				signal.addEventListener('abort', cancel, {once: true});
			}

			const result = await backend.client.send(routed, {
				fence: permission.value.fence,
				deadlineMs: measureTimeBudgetMs(permission.value, deadline, {now: start, checksFence: backend.server.checksFence}),
				signal: running.signal,
			});
			this.#recordResult(backend, routed, {result, start});
			return result;
		} finally {
			signal.removeEventListener('abort', cancel);
			this.#releaseSlot(backend, running);
		}
	}

	/** Frees the slot of a request. After a cancellation this is delayed, since the backend server may still be working on the request. */
	#releaseSlot(backend: BackendInstance, running: RunningRequest): void {
		if (running.signal.aborted) {
			this.#opts.clock.startTimer(cancelledSlotReleaseDelayMs, () => {
				backend.gate.release();
			});
		} else {
			backend.gate.release();
		}
	}

	#recordResult(backend: BackendInstance, routed: RoutedRequest, end: {readonly result: RequestResult; readonly start: Timestamp}): void {
		const now = this.#opts.clock.readTimestamp();
		const latencyMs = now.monotonicMs - end.start.monotonicMs;
		const {result} = end;
		if (result.kind === 'answer') {
			backend.limit.recordResponse(latencyMs, backend.gate.countRunning(), now);
			this.#meter.record(routed, latencyMs);
		} else if (result.reason !== 'cancelled' && result.reason !== 'lease-not-held') {
			backend.limit.recordRefusal(now);
		}

		this.#opts.metrics.recordValue('backend-server.duration', latencyMs, createTags(routed));
		this.#opts.metrics.setGauge('guard.running', backend.gate.countRunning(), {service: routed.service});
		this.#opts.metrics.setGauge('guard.waiting', backend.gate.countWaiting(), {service: routed.service});
		this.#opts.metrics.setGauge('guard.limit', backend.limit.getLimit(), {service: routed.service});
	}

	#checkPermission(routed: RoutedRequest, isAccepted: boolean): ReturnType<typeof checkPermission> {
		return checkPermission(routed, {
			view: this.#opts.ownership.read(),
			now: this.#opts.clock.readTimestamp(),
			server: this.#opts.backendServer.read(),
			leavingSince: this.#leavingSince,
			needsGrant: this.#mustHaveGrant(routed),
			isAccepted,
		});
	}

	/** Returns whether only the owner of the partition may run the request. An idempotent request to a service that is not partitioned by key may run on any backend server of the service. */
	#mustHaveGrant(routed: RoutedRequest): boolean {
		return !routed.idempotent || (this.#findService(routed.service)?.divided ?? true);
	}

	#findService(name: string): ServiceConfiguration | undefined {
		return this.#opts.configuration.read().services.find(service => service.name === name);
	}

	#replaceBackend(server: BackendServer | undefined): void {
		const old = this.#backend;
		this.#leavingSince = server?.leaving === true ? this.#leavingSince ?? this.#opts.clock.readTimestamp() : undefined;
		if (old !== undefined && server !== undefined && isSameInstance(old.server, server)) {
			this.#backend = {...old, server};
			return;
		}

		this.#backend = server === undefined ? undefined : this.#createBackend(server);
		old?.gate.close();
		old?.client.close().catch(() => {
			// The connections are no longer used, so a failed close has no effect.
		});
	}

	#createBackend(server: BackendServer): BackendInstance {
		const service = this.#findService(server.service);
		const maxConnections = Math.min(service?.maxConnections ?? defaultMaxConnections, server.slots + spareConnections);
		const limit = new ConcurrencyLimit({
			slots: Math.min(server.slots, maxConnections), coldConcurrency: service?.coldConcurrency ?? defaultColdConcurrency,
		}, this.#opts.clock.readTimestamp());
		return {
			server,
			client: new BackendClient(server, {maxConnections}),
			limit,
			gate: new AdmissionGate({
				clock: this.#opts.clock, random: this.#opts.random, limit, slots: server.slots,
			}),
		};
	}
}

type Delivery = {
	readonly backend: BackendInstance;
	readonly running: RunningRequest;
	readonly deadline: Timestamp;
	readonly signal: AbortSignal;
};

function getCancelReason(callerSignal: AbortSignal, ownSignal: AbortSignal): FailureReason {
	return callerSignal.aborted || !ownSignal.aborted ? 'cancelled' : ownSignal.reason as FailureReason; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

function createUnreachableFailure(routed: RoutedRequest): RequestFailure {
	return createNotRunFailure(routed.requestId, 'backend-server-unreachable', 'no backend server has announced itself, or it was replaced');
}

function createTags(routed: RoutedRequest): MetricTags {
	return {service: routed.service, tenant: routed.tenant, requestClass: routed.requestClass};
}
