import type {AccountStatus} from '@buckthornpoint/accounts/account-limiter.js';
import type {MemoryBudget} from '@buckthornpoint/admission/memory-budget.js';
import type {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import type {RegisteredBackend} from '@buckthornpoint/backend-link/backend-registration.js';
import type {FinishedRequest} from '@buckthornpoint/ingress/finished-request.js';
import type {SecondTryEvent} from '@buckthornpoint/ingress/second-try.js';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {AccountCounts} from './account-counts.js';
import type {MeshSettings} from './settings.js';
import type {SimpleHttpResponse} from './simple-http-server.js';

const statusOk = 200;

/** Sources of the gauges, read at each scrape. */
export type MetricSources = {
	readonly settings: Pick<MeshSettings, 'vmId' | 'failureDomain'>;
	readonly watch: {
		readonly current: Pick<RegisteredBackend, 'id' | 'state'> | undefined;
		readonly getLocalService: () => string;
		readonly member: {readonly listAssigned: () => readonly unknown[]};
	};
	readonly gate: Pick<
		BackendGate,
		'readLoad' | 'readDemand' | 'readCapacityPerS' | 'readOfferedRequestsPerSecond' | 'readLimitPerS' | 'readSentRequestsPerSecond' | 'readSharingCounts' | 'countRunning'
	>;
	readonly budget: Pick<MemoryBudget, 'usedBytes' | 'limitBytes' | 'refusals' | 'evictions'>;
	readonly countAcceptedConnections: () => number;
	readonly countClosedConnections: () => number;
	readonly isController: () => boolean;
	readonly getRoutesVersion: () => number;
	readonly getStoreEra: () => number;
	/** Whether the configuration in force has a client account of this name. */
	readonly hasAccount: (name: string) => boolean;
	/** The limited accounts of the configuration in force. */
	readonly listAccounts: () => readonly AccountStatus[];
};

/** Upper bounds of the latency histogram. They cover the latency targets of the deployments, 0.06 to 0.6 s, and their deadlines. */
const latencyBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4];

const millisecondsPerSecond = 1000;

/** Value of the limit gauge without a limit: 0 is a valid limit. */
const noLimit = -1;

/** The Prometheus metrics of a node. docs/operators/fleet.md lists them. */
export class NodeMetrics {
	readonly #registry = new Registry();
	readonly #requests = new Counter({
		name: 'buckthornpoint_requests_total',
		help: 'Requests that entered at this node, by how they ended',
		labelNames: ['service', 'outcome', 'reason'],
		registers: [this.#registry],
	});

	readonly #latency = new Histogram({
		name: 'buckthornpoint_request_seconds',
		help: 'Time from the arrival of a request to its final answer',
		labelNames: ['service', 'outcome'],
		buckets: latencyBucketsSeconds,
		registers: [this.#registry],
	});

	readonly #tries = new Counter({
		name: 'buckthornpoint_tries_total', help: 'Nodes that requests were offered to', labelNames: ['service'], registers: [this.#registry],
	});

	readonly #secondTries = new Counter({
		name: 'buckthornpoint_second_tries_total', help: 'Second tries, and those that were due and not sent, by what became of them', labelNames: ['service', 'event'], registers: [this.#registry],
	});

	readonly #refusals = new Counter({
		name: 'buckthornpoint_refusals_total',
		help: 'Requests that entered at this node and were refused, by reason and priority',
		labelNames: ['service', 'reason', 'priority'],
		registers: [this.#registry],
	});

	readonly #rejections = new Counter({
		name: 'buckthornpoint_rejections_total',
		help: 'Requests that entered at this node and were rejected as invalid, too long or too late, by the status of the response',
		labelNames: ['status'],
		registers: [this.#registry],
	});

	readonly #accounts: AccountCounts;

	constructor(sources: MetricSources) {
		this.#accounts = new AccountCounts(this.#registry, sources.hasAccount);
		this.#addServerInfo(sources);
		this.#registry.registerMetric(new Gauge({
			name: 'buckthornpoint_sharing_events', help: 'Promised retry times of the local server, how they ended, and displaced requests, since the start of the node', labelNames: ['event'],
			registers: [], collect() {
				for (const [event, count] of Object.entries(sources.gate.readSharingCounts())) {
					this.set({event}, count);
				}
			},
		}));
		const requestsHelp = 'Requests of limited accounts that entered at this node since its start, by what the limit decided';
		this.#addAccountGauge('buckthornpoint_account_requests', requestsHelp, 'event', () => sources.listAccounts().map(account => [account.name, countEvents(account)]));
		const shareHelp = 'Share of this node in the limits of accounts: requests in any 5 s, and per second over longer times';
		this.#addAccountGauge('buckthornpoint_account_share', shareHelp, 'unit', () => sources.listAccounts().map(({name, shareQuota, sharePerS}) =>
			[name, Object.entries({window: shareQuota, second: sharePerS})]));
		this.#addGauge('buckthornpoint_outstanding', 'Requests that run or wait at the backend server beside', () => sources.gate.readLoad().outstanding);
		this.#addGauge('buckthornpoint_running', 'Requests that run at the backend server beside', () => sources.gate.countRunning());
		this.#addGauge('buckthornpoint_waiting', 'Requests that wait for a slot of the backend server beside', () => Math.max(0, sources.gate.readLoad().outstanding - sources.gate.countRunning()));
		this.#addGauge('buckthornpoint_slots', 'Requests that the backend server beside runs at the same time', () => sources.gate.readLoad().slots);
		this.#addGauge('buckthornpoint_capacity_per_second', 'Requests per second that the backend server can serve with its slots and its limit', () => sources.gate.readCapacityPerS());
		this.#addGauge('buckthornpoint_offered_per_second', 'Requests per second that are offered to the backend server', () => sources.gate.readOfferedRequestsPerSecond());
		this.#addGauge('buckthornpoint_service_seconds', 'Time that a run at the backend server takes', () => sources.gate.readLoad().serviceMs / millisecondsPerSecond);
		this.#addGauge('buckthornpoint_failure_share', 'Share of the latest requests that the backend server failed or refused', () => sources.gate.readLoad().failureShare);
		this.#addGauge('buckthornpoint_demand', 'Requests offered to the backend server as a share of what it can serve', () => sources.gate.readDemand());
		this.#addGauge('buckthornpoint_limit_per_second', 'Advertised request limit of the backend server; -1 without a limit', () => sources.gate.readLimitPerS() ?? noLimit);
		this.#addGauge('buckthornpoint_sent_per_second', 'Requests per second that were sent to the backend server', () => sources.gate.readSentRequestsPerSecond());
		this.#addGauge('buckthornpoint_body_bytes', 'Bytes that are held for bodies of requests and responses', () => sources.budget.usedBytes);
		this.#addGauge('buckthornpoint_body_limit_bytes', 'Limit for the bytes that are held for bodies', () => sources.budget.limitBytes);
		this.#addGauge('buckthornpoint_body_refusals', 'Bodies refused for lack of memory since the start', () => sources.budget.refusals);
		this.#addGauge('buckthornpoint_body_evictions', 'Bodies dropped without progress to make room for others since the start', () => sources.budget.evictions);
		this.#addGauge('buckthornpoint_caller_connections_accepted', 'Caller connections accepted since the start', () => sources.countAcceptedConnections());
		this.#addGauge('buckthornpoint_caller_connections_closed', 'Caller connections closed at a limit or for an unread response since the start', () => sources.countClosedConnections());
		this.#addGauge('buckthornpoint_controller', '1 while this node is the controller', () => sources.isController() ? 1 : 0);
		this.#addGauge('buckthornpoint_routes_version', 'Version of the routes in force', () => sources.getRoutesVersion());
		this.#addGauge('buckthornpoint_store_era', 'Era of the store; it rises each time the store returns from an older copy', () => sources.getStoreEra());
		this.#addGauge('buckthornpoint_assigned_ranges', 'Ranges that the backend server is to hold', () => sources.watch.member.listAssigned().length);
	}

	/** Records a request that got its final answer. */
	recordFinished(finished: FinishedRequest): void {
		const {
			service, status, outcome, reason, tookMs, tries, priority, account,
		} = finished;
		if (account !== undefined) {
			this.#accounts.record(account, outcome, reason);
		}

		if (outcome === 'not-run') {
			this.#refusals.inc({service: service ?? '', reason, priority: priority ?? ''});
		}

		if (outcome === 'bad-request') {
			this.#rejections.inc({status});
		}

		const labels = {service: service ?? '', outcome};
		this.#requests.inc({...labels, reason: outcome === 'bad-request' ? '' : reason});
		this.#latency.observe(labels, tookMs / millisecondsPerSecond);
		this.#tries.inc({service: service ?? ''}, tries.length);
	}

	/** Records what became of a second try of a service. */
	recordSecondTry(service: string, event: SecondTryEvent): void {
		this.#secondTries.inc({service, event});
	}

	/** Renders all metrics in the Prometheus text format. */
	async createResponse(): Promise<SimpleHttpResponse> {
		return {status: statusOk, body: await this.#registry.metrics(), contentType: 'text/plain; version=0.0.4'};
	}

	#addServerInfo({settings: {vmId, failureDomain}, watch}: MetricSources): void {
		this.#registry.registerMetric(new Gauge({
			name: 'buckthornpoint_server_info',
			help: 'Always 1; the labels identify the node and the backend server beside it',
			labelNames: ['vm', 'failure_domain', 'service', 'server', 'state'],
			registers: [],
			collect() {
				// Without the reset, the labels of earlier states would remain.
				this.reset();
				this.set({
					vm: vmId, failure_domain: failureDomain, service: watch.getLocalService(), server: watch.current?.id ?? '', state: watch.current?.state ?? '', // eslint-disable-line @typescript-eslint/naming-convention
				}, 1);
			},
		}));
	}

	/** Adds a gauge by account. Its labels are read at each scrape, so that accounts that were removed from the configuration are not shown. */
	#addAccountGauge(name: string, help: string, label: string, list: () => ReadonlyArray<readonly [account: string, values: ReadonlyArray<readonly [string, number]>]>): void {
		const gauge = new Gauge({
			name, help, labelNames: ['account', label], registers: [this.#registry], collect() {
				gauge.reset();
				for (const [account, values] of list()) {
					for (const [key, value] of values) {
						gauge.set({account, [label]: key}, value);
					}
				}
			},
		});
	}

	#addGauge(name: string, help: string, read: () => number): void {
		const gauge = new Gauge({
			name, help, registers: [this.#registry], collect() {
				gauge.set(read());
			},
		});
	}
}

function countEvents({offered, passed, refused, givenBack}: AccountStatus): ReadonlyArray<readonly [string, number]> {
	return Object.entries({
		offered, passed, refused, returned: givenBack,
	});
}
