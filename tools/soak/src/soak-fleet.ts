import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import {StandInBackend} from '@buckthornpoint/fleet-stand-in/stand-in-backend.js';
import {configurationRowKey, getEvacuationRowKey} from '@buckthornpoint/fleet-stand-in/stand-in-configuration.js';
import type {RepeatedRefusals} from '@buckthornpoint/fleet-stand-in/stand-in-executor.js';
import {StandInStore} from '@buckthornpoint/fleet-stand-in/stand-in-store.js';
import type {MeshSettings} from '@buckthornpoint/mesh-daemon/settings.js';
import {Caller} from './caller.js';
import {createRandom} from './create-random.js';
import type {Disruptions} from './disruptions.js';
import {FaultyProxy} from './faulty-proxy.js';
import type {Ledger} from './ledger.js';
import type {Fault} from './schedule.js';
import {SoakNode} from './soak-node.js';
import {createAnswerBody, encodeSoakConfiguration, services} from './workload.js';

/** Options of a fleet under test. */
export type SoakFleetOpts = {
	readonly clock: Clock;
	readonly seed: number;
	readonly nodes: number;
	/** The first two numbers of the loopback addresses, such as "127.20". */
	readonly network: string;
	/** Folder for settings and logs. */
	readonly folder: string;
	readonly ledger: Ledger;
	readonly disruptions: Disruptions;
	/** When processes had to wait for a processor. */
	readonly slowness: Disruptions;
	readonly onEvent: (event: string) => void;
};

const ports = {
	backendServer: 7300, callers: 7301, peers: 7302, readiness: 7303, announcements: 7304, store: 7305,
} as const;
const failureDomains = ['a', 'b', 'c'];
const heartbeatIntervalMs = 500;
const callersPerNode = 4;
const callerPauseMs = 100;
const slots = 8;
const queueLength = 24;
const minWorkMs = 5;
const usualWorkMs = 40;
const longWorkMs = 400;
const longWorkShare = 0.03;

/** The clocks of backend servers run up to 2% slow. */
const maxLeaseFactor = 1.02;

/** Same values as in the settings of the deployments. */
const bounds = {
	drainSeconds: 2, evacuationSeconds: 5, graceSeconds: 6, maxHoldSeconds: 10, retryRatio: 0.2, retrySlack: 56,
} as const;
const msPerSecond = 1000;
const holdCheckIntervalMs = 50;

/** Time between the end of a backend server and the start of the next one at its address. */
const restartDelayMs = 200;

/** A fleet on loopback: the store, and on each VM a node process, a backend server, callers and a link to the store. */
export class SoakFleet {
	readonly store: StandInStore;
	readonly nodes: readonly SoakNode[];
	/** The link between each node and the store. */
	readonly links: readonly FaultyProxy[];
	readonly #opts: SoakFleetOpts;
	readonly #backends: StandInBackend[];
	readonly #leavingNodes = new Set<number>();
	#backendCount = 0;
	#timer: Timer | undefined;
	readonly #callers: readonly Caller[];
	#configurationVersion = 0;

	constructor(opts: SoakFleetOpts) {
		this.#opts = opts;
		this.store = new StandInStore(opts.clock);
		const numbers = Array.from({length: opts.nodes}, (_, number) => number);
		this.links = numbers.map(() => new FaultyProxy(opts.clock, {host: this.#getStoreHost(), port: ports.store}));
		this.nodes = numbers.map(number => this.#createNode(number));
		this.#backends = numbers.map(number => this.#createBackend(number));
		this.#callers = numbers.flatMap(number => Array.from({length: callersPerNode}, (_, index) => this.#createCaller(number, index)));
	}

	/** Starts everything; callers start last. */
	async start(): Promise<void> {
		this.writeConfiguration();
		await this.store.listen(this.#getStoreHost(), ports.store);
		await Promise.all(this.links.map(async (link, number) => link.listen(this.#getHost(number), ports.store)));
		await Promise.all([...this.#backends.map(async backend => backend.start()), ...this.nodes.map(async node => node.start())]);
		for (const caller of this.#callers) {
			caller.start();
		}

		this.#checkHolds();
	}

	/** Lets the backend server of a node leave, with the faults of `leave`, and starts a new instance in its place. */
	async replaceBackend({node, announcement, killAfterMs, downMs, lateMs, serveMs}: Extract<Fault, {readonly kind: 'leave'}>): Promise<void> {
		const {clock, ledger, onEvent} = this.#opts;
		if (this.#leavingNodes.has(node)) {
			return;
		}

		this.#leavingNodes.add(node);
		const backend = this.#backends[node]!;
		const delayed = backend.createHeartbeat();
		const isAcknowledged = await backend.announceLeave(announcement);
		onEvent(`${backend.id}: ${announcement}, ${isAcknowledged ? 'acknowledged' : 'not acknowledged'}`);
		if (isAcknowledged) {
			ledger.recordLeave(backend.id, this.#readNowMs());
		}

		const runKill = async (): Promise<void> => {
			if (killAfterMs !== undefined && isAcknowledged) {
				await clock.sleep(killAfterMs);
				await this.nodes[node]!.stopImmediately(downMs);
			}
		};

		const sendDelayed = async (): Promise<void> => {
			await clock.sleep(lateMs);
			await backend.sendDelayed(delayed);
		};

		await Promise.all([runKill(), sendDelayed(), clock.sleep(serveMs)]);
		onEvent(`${backend.id}: exits`);
		backend.close();
		// Connections to the port are closed asynchronously.
		await clock.sleep(restartDelayMs);
		this.#backends[node] = this.#createBackend(node);
		await this.#backends[node].start();
		this.#leavingNodes.delete(node);
	}

	/** Evacuates the failure domain of a node for a time. */
	async runEvacuation(node: number, forMs: number): Promise<void> {
		const domain = this.#getDomain(node);
		this.#opts.onEvent(`operator: evacuates ${domain}`);
		this.store.writeOperatorRow(getEvacuationRowKey(domain), '{}');
		await this.#opts.clock.sleep(forMs);
		this.#opts.onEvent(`operator: takes ${domain} back`);
		this.store.removeOperatorRow(getEvacuationRowKey(domain));
	}

	/** Lets the backend server of a node refuse requests and repeat the refusals for a time. */
	async runRepeatedRefusals(node: number, refusals: RepeatedRefusals, forMs: number): Promise<void> {
		const backend = this.#backends[node]!;
		this.#opts.onEvent(`${backend.id}: ${JSON.stringify(refusals)}`);
		backend.setRepeatedRefusals(refusals);
		await this.#opts.clock.sleep(forMs);
		backend.setRepeatedRefusals(undefined);
		this.#opts.onEvent(`${backend.id}: refuses no more`);
	}

	/** Writes the next version of the configuration. */
	writeConfiguration(): void {
		this.#configurationVersion++;
		this.store.writeOperatorRow(configurationRowKey, encodeSoakConfiguration(this.#configurationVersion));
	}

	/** Stops the callers after their pending requests. */
	async stopCallers(): Promise<void> {
		await Promise.all(this.#callers.map(async caller => caller.close()));
	}

	async close(): Promise<void> {
		this.#timer?.close();
		await Promise.all(this.nodes.map(async node => node.close()));
		for (const part of [...this.#backends, ...this.links, this.store]) {
			part.close();
		}
	}

	#checkHolds(): void {
		this.#opts.ledger.checkSharedHolds();
		this.#timer = this.#opts.clock.startTimer(holdCheckIntervalMs, () => {
			this.#checkHolds();
		});
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}

	#createNode(number: number): SoakNode {
		const {clock, folder, disruptions, slowness, ledger, onEvent} = this.#opts;
		const vmId = `vm-${number}`;
		const settingsFile = join(folder, `${vmId}.json`);
		mkdirSync(folder, {recursive: true});
		writeFileSync(settingsFile, JSON.stringify(this.#createSettings(number, vmId)));
		return new SoakNode({
			clock,
			number,
			settingsFile,
			logFile: join(folder, `${vmId}.log`),
			host: this.#getHost(number),
			readinessPort: ports.readiness,
			graceMs: bounds.graceSeconds * msPerSecond,
			disruptions,
			slowness,
			onViolation(violation) {
				ledger.addViolation(violation);
			},
			onEvent(event) {
				onEvent(`${vmId}: ${event}`);
			},
		});
	}

	#createSettings(number: number, vmId: string): MeshSettings {
		const host = this.#getHost(number);
		return {
			vmId,
			failureDomain: this.#getDomain(number),
			service: this.#getService(number).name,
			backendServer: `${host}:${ports.backendServer}`,
			listen: {
				callers: `${host}:${ports.callers}`, peers: `${host}:${ports.peers}`, readiness: `${host}:${ports.readiness}`, announcements: `${host}:${ports.announcements}`,
			},
			store: `${host}:${ports.store}`,
			heartbeatSeconds: heartbeatIntervalMs / msPerSecond,
			bounds,
			logLevel: 'info',
			metricsPort: 0,
		};
	}

	#createBackend(number: number): StandInBackend {
		// The factor 1000 gives each backend server and caller of a fleet its own seed.
		const random = createRandom((this.#opts.seed * msPerSecond) + number);
		const count = this.#backendCount++;
		const service = this.#getService(number);
		const backend = new StandInBackend(this.#opts.clock, this.#opts.ledger, {
			// The first instances have the number of their node.
			id: count < this.#opts.nodes ? `server-${number}` : `server-${number}-${count}`,
			random,
			service: service.name,
			isDivided: service.isDivided,
			host: this.#getHost(number),
			port: ports.backendServer,
			failureDomain: this.#getDomain(number),
			nodeAddress: `${this.#getHost(number)}:${ports.announcements}`,
			slots,
			queueLength,
			heartbeatIntervalMs,
			leaseFactor: 1 + ((maxLeaseFactor - 1) * random.generateFraction()),
			generateWorkMs: () => minWorkMs + random.generateIntegerBelow(random.generateFraction() < longWorkShare ? longWorkMs : usualWorkMs),
			createAnswer: createAnswerBody,
		});
		this.#opts.ledger.addBackend({
			id: backend.id, service: backend.service, node: number, held: backend.held,
		});
		return backend;
	}

	#createCaller(number: number, index: number): Caller {
		const {clock, seed, ledger} = this.#opts;
		return new Caller({
			clock,
			ledger,
			random: createRandom((((seed * msPerSecond) + number) * msPerSecond) + index),
			entry: number,
			callerService: this.#getService(number).name,
			host: this.#getHost(number),
			port: ports.callers,
			pauseMs: callerPauseMs,
		});
	}

	#getService(number: number): typeof services[number] {
		return services[number % services.length]!;
	}

	#getDomain(number: number): string {
		return failureDomains[Math.floor(number / services.length) % failureDomains.length]!;
	}

	#getStoreHost(): string {
		return `${this.#opts.network}.0.1`;
	}

	#getHost(number: number): string {
		return `${this.#opts.network}.1.${number + 1}`;
	}
}
