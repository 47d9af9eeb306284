import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {toBuckthornpointError} from '@buckthornpoint/errors/errors.js';
import type {Log} from '@buckthornpoint/log/log.js';
import {SilentMetrics, type Metrics} from '@buckthornpoint/metrics/metrics.js';
import type {CellMachine} from '@buckthornpoint/ownership/cell-machine.js';
import type {CellStatus} from '@buckthornpoint/ownership/cell-status.js';
import type {CellMessage, LoadReport} from '@buckthornpoint/ownership/messages.js';
import type {OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import {defaultTiming, type CellTiming} from '@buckthornpoint/ownership/timing.js';
import type {TableStore} from '@buckthornpoint/table-store/table-store.js';
import {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import {emptyConfiguration, type Configuration} from '@buckthornpoint/types/configuration.js';
import type {CellId, NodeIdentity, PartitionId} from '@buckthornpoint/types/identity.js';
import type {BackendServer, Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import type {MessageReceiver} from './cell-calls.js';
import {CellOperations, type CellOperation} from './cell-operations.js';
import {CellReporter} from './cell-reporter.js';
import {CellRowStore} from './cell-rows.js';
import {ConnectTransport} from './connect-transport.js';
import {MachineLoop, type LoopEffect} from './machine-loop.js';
import type {IncomingMessage, PeerTransport} from './peer-transport.js';
import {watchConfiguration} from './watch-configuration.js';

const storeTimeoutMs = 1000;
const callTimeoutMs = 1000;

/** Dependencies of a `CellTask`. */
export type CellTaskOpts = {
	readonly cell: CellId;
	readonly member: Member;
	readonly store: TableStore;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly metrics?: Metrics;
	/** Must be the same on all nodes of a cell. */
	readonly timing?: CellTiming;
	/** State machine that decides on ownership; must have been created with the same member and timing. */
	readonly machine: CellMachine;
	/** Delivers messages; by default a `ConnectTransport`. */
	readonly transport?: PeerTransport;
};

/** Maintains the membership of the node in its cell: passes inputs to the cell state machine, executes its effects and publishes the resulting state. */
export class CellTask implements MessageReceiver {
	readonly node: NodeIdentity;
	readonly ownership: ObservableValue<OwnershipView>;
	readonly routing = new ObservableValue<RoutingTable>({map: {version: 0, vmIds: [], placements: []}, members: []});
	readonly configuration = new ObservableValue<Configuration>(emptyConfiguration);
	readonly backendServer = new ObservableValue<BackendServer | undefined>(undefined);
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #machine: CellMachine;
	readonly #loop: MachineLoop;
	readonly #transport: PeerTransport;
	readonly #operations: CellOperations;
	readonly #rows: CellRowStore;
	readonly #reporter: CellReporter;
	readonly #closed = new AbortController();
	readonly #stopped = new AbortController();

	constructor(opts: CellTaskOpts) {
		const {cell, member, clock, log, store} = opts;
		const {timing = defaultTiming, metrics = new SilentMetrics()} = opts;
		this.node = {vmId: member.vmId, incarnation: member.incarnation};
		this.ownership = new ObservableValue(createEmptyView(this.node));
		this.#clock = clock;
		this.#log = log;
		this.#machine = opts.machine;
		this.#loop = new MachineLoop({
			machine: this.#machine,
			clock,
			random: opts.random,
			apply: effect => {
				this.#apply(effect);
			},
		});
		this.#transport = opts.transport ?? new ConnectTransport({
			clock, metrics, silenceTimeoutMs: timing.heartbeatTimeoutMs, callTimeoutMs,
		});
		this.#rows = new CellRowStore({
			cell, store, clock, log, metrics, timeoutMs: storeTimeoutMs,
		});
		this.#operations = new CellOperations({
			node: this.node,
			transport: this.#transport,
			rows: this.#rows,
			log,
			post: input => {
				this.#loop.post(input);
			},
		});
		this.#reporter = new CellReporter(log, metrics);
	}

	/** Runs until the task is closed. Rejects if the state machine fails; the node then owns no partitions. */
	async run(): Promise<void> {
		const watching = this.#watchConfiguration();
		try {
			await this.#loop.run();
		} catch (error) {
			this.#log.write({event: 'internal-error', message: toBuckthornpointError(error).message});
			throw error;
		} finally {
			this.ownership.publish(createEmptyView(this.node));
			await this.close();
			await watching;
		}
	}

	/** Records an announcement of the local backend server. */
	recordAnnouncement(backendServer: BackendServer): void {
		if (isSameAnnouncement(this.backendServer.read(), backendServer)) {
			return;
		}

		this.#log.write({event: 'backend-server-announced', ...backendServer});
		this.backendServer.publish(backendServer);
		this.#loop.post({kind: 'backend-server-announced', backendServer});
	}

	/** Records that the local backend server no longer announces itself. */
	recordSilence(): void {
		const known = this.backendServer.read();
		if (known === undefined) {
			return;
		}

		this.#log.write({event: 'backend-server-silent', name: known.name, service: known.service});
		this.backendServer.publish(undefined);
		this.#loop.post({kind: 'backend-server-silent'});
	}

	/** Records that no request of a partition that is being released is running or waiting. */
	recordDrained(partition: PartitionId): void {
		this.#loop.post({kind: 'partition-drained', partition});
	}

	/** Records the load measured by the guard. */
	recordLoad(load: LoadReport): void {
		this.#loop.post({kind: 'load-measured', load});
	}

	/** Applies an accepted configuration, unless the node already has a newer version. */
	receiveConfiguration(configuration: Configuration): void {
		this.#loop.post({kind: 'configuration-learned', configuration});
	}

	/** Hands over all partitions. Resolves when the node owns no partitions, or when the task is closed. */
	async requestStop(): Promise<void> {
		this.#loop.post({kind: 'stop-requested'});
		const {signal} = this.#stopped;
		await new Promise<void>(resolve => {
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
			if (signal.aborted) {
				resolve();
			}
		});
	}

	/** Returns the node's view of itself and its cell. */
	readStatus(): CellStatus {
		return this.#machine.readStatus(this.#clock.readTimestamp());
	}

	/** Handles a message from another node and returns the immediate replies to its sender. */
	async handleMessage(incoming: IncomingMessage): Promise<readonly CellMessage[]> {
		return this.#loop.handleMessage(incoming);
	}

	/** Leaves the cell without handing over partitions. */
	async close(): Promise<void> {
		this.#closed.abort();
		this.#stopped.abort();
		this.#loop.close();
		this.#operations.close();
		await this.#transport.close();
	}

	async #watchConfiguration(): Promise<void> {
		await watchConfiguration({
			rows: this.#rows,
			clock: this.#clock,
			isController: () => this.readStatus().role === 'controller',
			receive: configuration => {
				this.receiveConfiguration(configuration);
			},
		}, this.#closed.signal);
	}

	#apply(effect: LoopEffect): void {
		if (effect.kind === 'send' || effect.kind === 'read-store' || effect.kind === 'write-store') {
			this.#operations.start(effect);
		} else {
			this.#publish(effect);
		}
	}

	#publish(effect: Exclude<LoopEffect, CellOperation>): void {
		switch (effect.kind) {
			case 'ownership-changed': {
				this.ownership.publish(effect.view);
				this.#reporter.reportOwnership(effect.view);
				break;
			}

			case 'routing-changed': {
				this.routing.publish(effect.table);
				this.#reporter.reportRouting(effect.table);
				break;
			}

			case 'configuration-changed': {
				this.configuration.publish(effect.configuration);
				this.#reporter.reportConfiguration(effect.configuration);
				break;
			}

			case 'event': {
				this.#reporter.reportEvent(effect.event);
				break;
			}

			case 'stopped': {
				this.#stopped.abort();
				break;
			}
		}
	}
}

function createEmptyView(node: NodeIdentity): OwnershipView {
	return {node, leaseEnd: undefined, grants: new Map()};
}

function isSameAnnouncement(known: BackendServer | undefined, announced: BackendServer): boolean {
	const names = ['name', 'service', 'origin', 'slots', 'checksFence', 'incarnation', 'leaving'] as const;
	return known !== undefined && names.every(name => known[name] === announced[name]);
}
