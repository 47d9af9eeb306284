import {Clock, type Timestamp, type Timer} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {Guard} from '@buckthornpoint/guard/guard.js';
import type {OutcomeQuery, OutcomeReport} from '@buckthornpoint/guard/outcome-query.js';
import {SilentMetrics} from '@buckthornpoint/metrics/metrics.js';
import type {Grant, OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {BackendServer, Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import {
	createNotRunFailure, createOutcomeUnknownFailure, type RequestResult, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import {createQueryOutcome} from '../src/query-outcome.js';
import {MemberDirectory} from '../src/member-directory.js';
import {Router} from '../src/router.js';

const service = 'nyomda';
const partitionCount = 4;
const leaseMs = 1_000_000_000;

/** A clock whose wall clock runs 20 times as fast as the system clock, so that skew and time windows pass quickly. */
export class FastWallClock extends Clock {
	readonly #clock = new SystemClock();
	readonly #start = this.#clock.readTimestamp();

	override readTimestamp(): Timestamp {
		const {monotonicMs} = this.#clock.readTimestamp();
		return {monotonicMs, wallMs: this.#start.wallMs + ((monotonicMs - this.#start.monotonicMs) * 20)};
	}

	override startTimer(delayMs: number, callback: () => void): Timer {
		return this.#clock.startTimer(delayMs, callback);
	}
}

/** For each fault, the share of the calls between nodes that it affects, from 0 to 1. */
export type NetworkFaults = {
	readonly lostRequests: number;
	readonly delayedRequests: number;
	readonly lostAnswers: number;
	readonly lostQueries: number;
};

type Node = {
	readonly member: Member;
	readonly guard: Guard;
	readonly ownership: ObservableValue<OwnershipView>;
	readonly router: Router;
};

/** Nodes in one process, with injected faults between them, that share one counting backend server. */
export class FaultBench {
	readonly clock = new FastWallClock();
	readonly #opts: {readonly backendOrigin: string; readonly random: RandomSource; readonly faults: NetworkFaults};
	readonly #configuration: ObservableValue<Configuration>;
	readonly #routing = new ObservableValue<RoutingTable>({map: {version: 0, vmIds: [], placements: []}, members: []});
	readonly #nodes = new Map<string, Node>();
	readonly #drains = new Map<string, () => void>();
	#counter = 0;

	constructor(opts: {readonly backendOrigin: string; readonly random: RandomSource; readonly faults: NetworkFaults}) {
		this.#opts = opts;
		this.#configuration = new ObservableValue<Configuration>({
			version: 1,
			services: [{
				name: service, tenant: 'kartonpont', divided: false, partitionCount, maxConnections: 100, coldConcurrency: 18, rules: [],
			}],
			failureDomains: [],
			stoppingVms: [],
			deadVms: [],
		});
		this.startNode('vm-1');
		this.startNode('vm-2');
		this.startNode('vm-3');
		for (let partition = 0; partition < partitionCount; partition++) {
			this.#grant(partition, 'vm-1', undefined);
		}
	}

	/** Routes a print job through a node. */
	async send(vmId: string, headers: Readonly<Record<string, string>>): Promise<RequestResult> {
		const router = this.#nodes.get(vmId)?.router;
		return router === undefined
			? createNotRunFailure('', 'peer-unreachable', 'no such node')
			: router.route({
				method: 'POST', path: '/jobs', headers: new Headers({'buckthornpoint-service': service, ...headers}), body: new Uint8Array(),
			}, new AbortController().signal);
	}

	/** Starts a node, or restarts it without its state. */
	startNode(vmId: string): void {
		const incarnation = `${vmId}/${this.#counter++}`;
		const ownership = new ObservableValue<OwnershipView>({node: {vmId, incarnation}, leaseEnd: this.#createLeaseEnd(), grants: new Map()});
		const member = {
			vmId, incarnation, peerOrigin: vmId, callerOrigin: vmId, failureDomain: 'fd', phase: 'active' as const,
		};
		const link = {forward: this.#forward.bind(this), findOutcome: this.#findOutcome.bind(this)};
		const common = {
			clock: this.clock, random: this.#opts.random, metrics: new SilentMetrics(), configuration: this.#configuration,
		};
		const guard = new Guard({
			...common,
			ownership,
			backendServer: new ObservableValue<BackendServer | undefined>({
				name: 'n', service, origin: this.#opts.backendOrigin, slots: 18, checksFence: false, incarnation, leaving: false,
			}),
			queryOutcome: createQueryOutcome(link, new MemberDirectory(this.#routing)),
			onDrained: ({partition}) => {
				this.#drains.get(`${vmId}/${partition}`)?.();
			},
		});
		const router = new Router({
			...common, node: member, guard, peers: link, routing: this.#routing,
		});
		this.#nodes.set(vmId, {
			member, guard, ownership, router,
		});
		this.#publishRouting(new Map());
	}

	/** Restarts a node; its partitions go to the successor without having been released. */
	async replaceNode(vmId: string, successor: string): Promise<void> {
		const lost = this.#nodes.get(vmId);
		if (lost === undefined) {
			return;
		}

		const partitions = [...lost.ownership.read().grants.values()].map(({partition}) => partition.partition);
		lost.router.close();
		await lost.guard.close();
		this.startNode(vmId);
		for (const partition of partitions) {
			this.#grant(partition, successor, {node: lost.member, released: false});
		}
	}

	/** Hands a partition over to another node while requests are running. */
	async move(from: string, to: string): Promise<void> {
		const source = this.#nodes.get(from);
		const grant = source === undefined ? undefined : [...source.ownership.read().grants.values()][0];
		if (source === undefined || grant === undefined) {
			return;
		}

		const {partition} = grant.partition;
		const drained = new Promise<void>(resolve => {
			this.#drains.set(`${from}/${partition}`, resolve);
		});
		this.#setGrant(source, {...grant, releasing: true});
		await drained;
		this.#setGrant(source, undefined, `${service}/${partition}`);
		this.#grant(partition, to, {node: source.member, released: true});
	}

	/** Lists the nodes that own at least one partition. */
	listOwners(): readonly string[] {
		return [...this.#nodes.values()].filter(({ownership}) => ownership.read().grants.size > 0).map(({member}) => member.vmId);
	}

	/** Stops all nodes. */
	async close(): Promise<void> {
		for (const {guard, router} of this.#nodes.values()) {
			router.close();
			await guard.close();
		}
	}

	async #forward(peerOrigin: string, routed: RoutedRequest): Promise<RequestResult> {
		const {faults, random} = this.#opts;
		const fraction = random.generateFraction();
		const lost = createOutcomeUnknownFailure(routed.requestId, 'peer-unreachable', 'the connection went silent');
		const deliver = async (): Promise<RequestResult> => await this.#nodes.get(peerOrigin)?.guard.handle(routed, new AbortController().signal) ?? lost;
		if (fraction < faults.lostRequests) {
			return lost;
		}

		if (fraction < faults.lostRequests + faults.delayedRequests) {
			this.clock.startTimer(random.generateIntegerBelow(40), () => {
				void deliver();
			});
			return lost;
		}

		const result = await deliver();
		return fraction > 1 - faults.lostAnswers ? lost : result;
	}

	async #findOutcome(peerOrigin: string, query: OutcomeQuery, signal: AbortSignal): Promise<OutcomeReport | undefined> {
		return this.#opts.random.generateFraction() < this.#opts.faults.lostQueries
			? undefined
			: this.#nodes.get(peerOrigin)?.guard.findOutcome(query, signal);
	}

	#grant(partition: number, vmId: string, predecessor: Grant['predecessor']): void {
		const node = this.#nodes.get(vmId);
		if (node === undefined) {
			return;
		}

		const fence = {epoch: 1, counter: this.#counter++};
		this.#setGrant(node, {
			partition: {service, partition}, fence, ownedSince: this.clock.readTimestamp(), predecessor, releasing: false,
		});
		this.#publishRouting(new Map([[partition, vmId]]));
	}

	#setGrant(node: Node, grant: Grant | undefined, key = `${service}/${grant?.partition.partition ?? 0}`): void {
		const grants = new Map(node.ownership.read().grants);
		if (grant === undefined) {
			grants.delete(key);
		} else {
			grants.set(key, grant);
		}

		node.ownership.publish({...node.ownership.read(), grants});
	}

	#publishRouting(changes: ReadonlyMap<number, string>): void {
		const {map} = this.#routing.read();
		const vmIds = ['vm-1', 'vm-2', 'vm-3'];
		const known = map.placements[0]?.owners ?? [];
		const owners = Array.from({length: partitionCount}, (_, partition) => {
			const changed = changes.get(partition);
			return changed === undefined ? known[partition] ?? -1 : vmIds.indexOf(changed);
		});
		this.#routing.publish({
			map: {version: map.version + 1, vmIds, placements: [{service, owners, exceptions: []}]},
			members: [...this.#nodes.values()].map(({member}) => member),
		});
	}

	#createLeaseEnd(): Timestamp {
		const now = this.clock.readTimestamp();
		return {monotonicMs: now.monotonicMs + leaseMs, wallMs: now.wallMs + leaseMs};
	}
}
