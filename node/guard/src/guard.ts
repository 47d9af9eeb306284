import {ConcurrencyLimit} from '@buckthornpoint/admission/concurrency-limit.js';
import {addMilliseconds, type Clock, type Moment} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {Metrics, MetricTags} from '@buckthornpoint/metrics/metrics.js';
import type {LoadReport} from '@buckthornpoint/ownership/messages.js';
import type {OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import {createLinkedSignal} from '@buckthornpoint/tasks/linked-signal.js';
import type {Published} from '@buckthornpoint/tasks/published.js';
import type {Configuration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {PartitionId} from '@buckthornpoint/types/identity.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {
	createNotRun, type FailureReason, type RequestFailure, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import {AdmissionGate} from './admission-gate.js';
import {BackendClient, isSameRun} from './backend-client.js';
import {checkRight, measureDeadline} from './check-right.js';
import {LoadMeter} from './load-meter.js';
import {OnceGate} from './at-most-once-gate.js';
import type {AskOutcome, OutcomeQuestion, OutcomeReport} from './outcome-query.js';
import {OwnershipHistory} from './ownership-history.js';
import {RunningRequests, type RunningRequest} from './running-requests.js';

const fallbackConnections = 100;
const fallbackColdConcurrency = 2;
const spareConnections = 2;
const cancelDelayMs = 20;

/** What a guard works with. */
export type GuardOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: Metrics;
	/** What the node may do; published by the cell task. */
	readonly ownership: Published<OwnershipView>;
	/** The backend server beside the node, when one has announced itself. */
	readonly backendServer: Published<BackendServer | undefined>;
	readonly configuration: Published<Configuration>;
	/** Asks another node what became of a request. */
	readonly askOutcome: AskOutcome;
	/** Called when nothing runs or waits any more of a partition that is being handed over. */
	readonly onDrained: (partition: PartitionId) => void;
};

/** What belongs to one run of a backend server. */
type Backend = {
	readonly server: BackendServer;
	readonly client: BackendClient;
	readonly gate: AdmissionGate;
	readonly limit: ConcurrencyLimit;
};

/** The only way to the backend server beside the node. */
export class Guard {
	readonly #opts: GuardOpts;
	readonly #unsubscribes: ReadonlyArray<() => void>;
	readonly #history = new OwnershipHistory();
	readonly #running: RunningRequests;
	readonly #once: OnceGate;
	readonly #meter = new LoadMeter();
	#backend: Backend | undefined;
	#leavingSince: Moment | undefined;
	#isClosed = false;

	constructor(opts: GuardOpts) {
		this.#opts = opts;
		this.#running = new RunningRequests(opts);
		this.#once = new OnceGate({clock: opts.clock, history: this.#history, askOutcome: opts.askOutcome});
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

	/** Hands a request to the backend server if the node may do so now, in the order of its class. */
	async handle(routed: RoutedRequest, signal: AbortSignal): Promise<RequestResult> {
		if (this.#isClosed) {
			return createNotRun(routed.requestId, 'stopping', 'the node is stopping');
		}

		const {node} = this.#opts.ownership.read();
		if (routed.target.incarnation !== node.incarnation) {
			return createNotRun(routed.requestId, 'incarnation-mismatch', 'the attempt names another run of this node');
		}

		const isKnown = !routed.idempotent && this.#once.hasOutcome(routed.requestId);
		const right = isKnown ? undefined : this.#checkRight(routed, false);
		if (right?.isErr()) {
			return right.error;
		}

		const deadline = addMilliseconds(this.#opts.clock.readMoment(), routed.remainingMs);
		return routed.idempotent
			? this.#admit(routed, deadline, signal)
			: this.#once.run(routed, async () => this.#admit(routed, deadline, signal), signal);
	}

	/** Says what became of a request; one that was not seen will not run here any more. */
	async findOutcome(question: OutcomeQuestion, signal: AbortSignal): Promise<OutcomeReport> {
		const {node} = this.#opts.ownership.read();
		return question.targetIncarnation === node.incarnation
			? this.#once.findOutcome(question, signal)
			: {state: 'unknown'};
	}

	/** Returns what was measured since the last call, for the controller. */
	measureLoad(): LoadReport {
		return this.#meter.measure(this.#backend?.limit.isCold() ?? true);
	}

	/** Gives up what runs and closes the connections to the backend server. */
	async close(): Promise<void> {
		this.#isClosed = true;
		for (const unsubscribe of this.#unsubscribes) {
			unsubscribe();
		}

		this.#running.close();
		this.#backend?.gate.close();
		await this.#backend?.client.close();
	}

	/** Waits for a place at the backend server and hands the request over. */
	async #admit(routed: RoutedRequest, deadline: Moment, signal: AbortSignal): Promise<RequestResult> {
		const backend = this.#backend;
		if (backend === undefined) {
			return createUnreachable(routed);
		}

		const running = this.#running.add(routed, {needsGrant: this.#mustHaveGrant(routed)});
		const linked = createLinkedSignal([signal, running.signal]);
		const tags = createTags(routed);
		const arrival = this.#opts.clock.readMoment();
		try {
			const admission = await backend.gate.admit({
				requestClass: routed.requestClass, deadlineMs: deadline.monotonicMs, signal: linked.signal,
			});
			this.#opts.metrics.recordValue('guard.wait', this.#opts.clock.readMoment().monotonicMs - arrival.monotonicMs, tags);
			switch (admission.kind) {
				case 'admitted': {
					return await this.#deliver(routed, {
						backend, running, deadline, signal,
					});
				}

				case 'cancelled': {
					return createNotRun(routed.requestId, readReason(signal, running.signal), 'the request was given up before it was handed over');
				}

				case 'shed': {
					this.#opts.metrics.addCount('guard.shed', 1, tags);
					return createNotRun(routed.requestId, 'overloaded', 'the backend server could not begin the request in time', admission.retryAfterMs);
				}
			}
		} finally {
			linked.close();
			running.close();
		}
	}

	/** Checks the lease once more and sends the request. Frees the place in any case. */
	async #deliver(routed: RoutedRequest, opts: HandOver): Promise<RequestResult> {
		const {backend, running, deadline, signal} = opts;
		const start = this.#opts.clock.readMoment();
		const cancel = (): void => {
			running.cancel('cancelled');
		};

		try {
			const right = backend === this.#backend ? this.#checkRight(routed, true) : undefined;
			if (right === undefined) {
				return createUnreachable(routed);
			}

			if (right.isErr()) {
				return right.error;
			}

			if (routed.idempotent) {
				signal.addEventListener('abort', cancel, {once: true});
			}

			const result = await backend.client.send(routed, {
				fence: right.value.fence,
				deadlineMs: measureDeadline(right.value, deadline, {now: start, checksFence: backend.server.checksFence}),
				signal: running.signal,
			});
			this.#note(backend, routed, {result, start});
			return result;
		} finally {
			signal.removeEventListener('abort', cancel);
			this.#releasePlace(backend, running);
		}
	}

	/** A request that was given up may occupy the backend server until it has heard of it. */
	#releasePlace(backend: Backend, running: RunningRequest): void {
		if (running.signal.aborted) {
			this.#opts.clock.startTimer(cancelDelayMs, () => {
				backend.gate.release();
			});
		} else {
			backend.gate.release();
		}
	}

	#note(backend: Backend, routed: RoutedRequest, end: {readonly result: RequestResult; readonly start: Moment}): void {
		const now = this.#opts.clock.readMoment();
		const latencyMs = now.monotonicMs - end.start.monotonicMs;
		const {result} = end;
		if (result.kind === 'answer') {
			backend.limit.noteAnswer(latencyMs, backend.gate.countRunning(), now);
			this.#meter.record(routed, latencyMs);
		} else if (result.reason !== 'cancelled' && result.reason !== 'lease-not-held') {
			backend.limit.noteRefusal(now);
		}

		this.#opts.metrics.recordValue('backend-server.duration', latencyMs, createTags(routed));
		this.#opts.metrics.setGauge('guard.running', backend.gate.countRunning(), {service: routed.service});
		this.#opts.metrics.setGauge('guard.waiting', backend.gate.countWaiting(), {service: routed.service});
		this.#opts.metrics.setGauge('guard.limit', backend.limit.getLimit(), {service: routed.service});
	}

	#checkRight(routed: RoutedRequest, isAccepted: boolean): ReturnType<typeof checkRight> {
		return checkRight(routed, {
			view: this.#opts.ownership.read(),
			now: this.#opts.clock.readMoment(),
			server: this.#opts.backendServer.read(),
			leavingSince: this.#leavingSince,
			needsGrant: this.#mustHaveGrant(routed),
			isAccepted,
		});
	}

	/** An idempotent request of an undivided service may run at any backend server of the service. */
	#mustHaveGrant(routed: RoutedRequest): boolean {
		return !routed.idempotent || (this.#findService(routed.service)?.divided ?? true);
	}

	#findService(name: string): ServiceConfiguration | undefined {
		return this.#opts.configuration.read().services.find(service => service.name === name);
	}

	#replaceBackend(server: BackendServer | undefined): void {
		const old = this.#backend;
		this.#leavingSince = server?.leaving === true ? this.#leavingSince ?? this.#opts.clock.readMoment() : undefined;
		if (old !== undefined && server !== undefined && isSameRun(old.server, server)) {
			this.#backend = {...old, server};
			return;
		}

		this.#backend = server === undefined ? undefined : this.#createBackend(server);
		old?.gate.close();
		old?.client.close().catch(() => {
			// The connections are gone either way.
		});
	}

	#createBackend(server: BackendServer): Backend {
		const service = this.#findService(server.service);
		const maxConnections = Math.min(service?.maxConnections ?? fallbackConnections, server.slots + spareConnections);
		const limit = new ConcurrencyLimit({
			slots: Math.min(server.slots, maxConnections), coldConcurrency: service?.coldConcurrency ?? fallbackColdConcurrency,
		}, this.#opts.clock.readMoment());
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

type HandOver = {
	readonly backend: Backend;
	readonly running: RunningRequest;
	readonly deadline: Moment;
	readonly signal: AbortSignal;
};

function readReason(callerSignal: AbortSignal, ownSignal: AbortSignal): FailureReason {
	return callerSignal.aborted || !ownSignal.aborted ? 'cancelled' : ownSignal.reason as FailureReason; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

function createUnreachable(routed: RoutedRequest): RequestFailure {
	return createNotRun(routed.requestId, 'backend-server-unreachable', 'no backend server has announced itself, or it was replaced');
}

function createTags(routed: RoutedRequest): MetricTags {
	return {service: routed.service, tenant: routed.tenant, requestClass: routed.requestClass};
}
