import {Buffer} from 'node:buffer';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {createSystemRandom} from '@buckthornpoint/clock/system-random.js';
import {RunObserver, type StandInRun} from '@buckthornpoint/fleet-stand-in/run-observer.js';
import type {ReadingPace} from '@buckthornpoint/fleet-stand-in/reading-pace.js';
import {StandInBackend} from '@buckthornpoint/fleet-stand-in/stand-in-backend.js';
import {configurationRowKey, encodeConfiguration} from '@buckthornpoint/fleet-stand-in/stand-in-configuration.js';
import {createCallerHeaders} from '@buckthornpoint/fleet-stand-in/stand-in-messages.js';
import type {EndlessAnswer} from '@buckthornpoint/fleet-stand-in/endless-answer.js';
import {StandInStore} from '@buckthornpoint/fleet-stand-in/stand-in-store.js';
import {findFreePort, sendRequest, type ReceivedAnswer} from './loopback.js';
import {RunningNode, type ThrowOpts} from './running-node.js';

/** Memory of the smallest VM. A process above it is killed. */
export const maxMemoryBytes = 250 * 1024 * 1024;

/** Bound for the open descriptors of a node: those of a crowd of at most 64 connections and of the node's own work. */
export const maxDescriptors = 400;

/** Host name of the only route. Its requests run on the server beside the second node. */
export const routeHost = 'jobs.example';

const startTimeoutMs = 60_000;
const defaultTimeoutSeconds = 60;
const pollIntervalMs = 100;
const retryPauseMs = 50;
const maxOrdinaryAttempts = 200;

/** A crowd that got no further answer for this many polls gets none any more. */
const maxIdlePauses = 30;

const statusOk = 200;

/** Options of a fleet under test. */
export type FleetOpts = {
	/** The operator's limit for the bodies of callers. */
	readonly bodyBytes: number;
	/** Creates the body of the server's answer. */
	readonly createAnswer?: ((requestId: string) => string) | undefined;
	/** How long the only route waits for its server; the default is 60 s. */
	readonly timeoutSeconds?: number;
	/** How fast the servers read the body of a request; the usual pace by default. */
	readonly getReadingPace?: (requestId: string) => ReadingPace;
	/** How many requests a server runs at the same time; the default is 8. */
	readonly slots?: number;
	/** How long a server runs a request; the default is 5 ms. */
	readonly workMs?: number;
	/** What a server sends without end in place of its answer to a request. */
	readonly getEndlessAnswer?: (requestId: string) => EndlessAnswer | undefined;
	/** Lowered limits in the settings of the nodes. */
	readonly settings?: {readonly maxDescriptors?: number};
	/** Makes each node throw once. */
	readonly thrown?: ThrowOpts;
};

class BodyRecorder extends RunObserver {
	readonly runs: StandInRun[] = [];

	override recordRunStart(run: StandInRun): void {
		this.runs.push(run);
	}

	override recordRunEnd(): void {
		// Only the received requests are of interest.
	}

	override recordAcquiredRanges(): void {
		// The service is not divided by key.
	}
}

/** Two nodes on loopback, each beside a backend server. Requests that enter at the first node run beside the second. */
export class TestFleet {
	readonly #opts: FleetOpts;
	readonly #clock = new SystemClock();
	readonly #store = new StandInStore(this.#clock);
	readonly #recorder = new BodyRecorder();
	readonly #backends: StandInBackend[] = [];
	readonly #nodes: RunningNode[] = [];
	#folder = '';
	#requestCount = 0;
	#configurationVersion = 0;

	constructor(opts: FleetOpts) {
		this.#opts = opts;
	}

	get entry(): RunningNode {
		return this.#nodes[0]!;
	}

	get nodes(): readonly RunningNode[] {
		return this.#nodes;
	}

	/** The requests that the servers have run. */
	get runs(): readonly StandInRun[] {
		return this.#recorder.runs;
	}

	async start(): Promise<void> {
		this.#folder = await mkdtemp(join(tmpdir(), 'buckthornpoint-crowds-'));
		await this.#store.listen('127.0.0.1', 0);
		this.setTimeoutSeconds(this.#opts.timeoutSeconds ?? defaultTimeoutSeconds);
		await this.#startNode('entry');
		await this.#startNode('jobs');
		const endMs = performance.now() + startTimeoutMs;
		while (!await this.#isServing()) {
			if (performance.now() > endMs) {
				throw new Error(`the fleet did not serve in time: ${this.#nodes.map(({end}) => end).join('; ')}`);
			}

			await sleep(pollIntervalMs);
		}
	}

	/** Leaves the connections open on which nodes watch the store, and does not answer on them any more. All others work. */
	stopStoreAnswers(): void {
		this.#store.stopAnsweringWatches();
	}

	/** Writes a further version of the configuration, in which the only route has this time-out. */
	setTimeoutSeconds(timeoutSeconds: number): void {
		this.#writeRoutes(timeoutSeconds, [routeHost]);
	}

	/** Writes a further version of the configuration, in which there is a second route. */
	addRoute(host: string): void {
		this.#writeRoutes(this.#opts.timeoutSeconds ?? defaultTimeoutSeconds, [routeHost, host]);
	}

	/** Sends one ordinary request as an ordinary caller does: it comes back after a refusal. Returns the last status. */
	async sendOrdinaryRequest(): Promise<number> {
		let status = 0;
		for (let attempt = 0; attempt < maxOrdinaryAttempts && status !== statusOk && this.entry.end === undefined; attempt++) {
			({status} = await this.sendJob(Buffer.from('an ordinary job')));
			await sleep(status === statusOk ? 0 : retryPauseMs);
		}

		return status;
	}

	/** Sends one request with a body to the first node; in chunks if `isChunked` is set. */
	async sendJob(body: Uint8Array, isChunked = false): Promise<ReceivedAnswer & {readonly requestId: string}> {
		const requestId = this.createRequestId('job');
		const received = await sendRequest(this.entry.callers, {
			method: 'POST',
			path: '/jobs/1',
			headers: {host: routeHost, ...isChunked ? {'transfer-encoding': 'chunked'} : {'content-length': String(body.length)}, ...createCallerHeaders(requestId)},
			body,
		});
		return {...received, requestId};
	}

	/** Waits until the requests of a crowd were answered by the servers, or the number of answers no longer grows. */
	async waitForRuns(count: number): Promise<void> {
		for (let pauses = 0, known = -1; this.runs.length < count && pauses < maxIdlePauses; pauses = known === this.runs.length ? pauses + 1 : 0) {
			known = this.runs.length;
			await sleep(pollIntervalMs);
		}
	}

	createRequestId(prefix: string): string {
		return `${prefix}-${++this.#requestCount}`;
	}

	async close(): Promise<void> {
		await Promise.all(this.#nodes.map(async node => node.close()));
		for (const part of [...this.#backends, this.#store]) {
			part.close();
		}

		await rm(this.#folder, {recursive: true});
	}

	#writeRoutes(timeoutSeconds: number, hosts: readonly string[]): void {
		this.#store.writeOperatorRow(configurationRowKey, encodeConfiguration(++this.#configurationVersion, hosts.map(host => ({
			name: host, host, prefix: '/jobs/', service: 'jobs', isIdempotent: false, timeoutSeconds, targetSeconds: timeoutSeconds, maxAttempts: 2,
		})), [{name: 'entry', isDivided: false, maxConnections: 100}, {name: 'jobs', isDivided: false, maxConnections: 100}], {bodyBytes: this.#opts.bodyBytes}));
	}

	async #isServing(): Promise<boolean> {
		const areReady = await Promise.all(this.#nodes.map(async node => node.isReady()));
		const {status} = await this.sendJob(Buffer.from('the first job'));
		return areReady.every(Boolean) && status === statusOk;
	}

	async #startNode(service: string): Promise<void> {
		const [callers, peers, readiness, announcements, backendServer] = await Promise.all(Array.from({length: 5}, findFreePort));
		const file = join(this.#folder, `${service}.json`);
		await writeFile(file, JSON.stringify({
			vmId: `vm-${service}`,
			failureDomain: 'a',
			service,
			backendServer: `127.0.0.1:${backendServer}`,
			listen: {
				callers: `127.0.0.1:${callers}`, peers: `127.0.0.1:${peers}`, readiness: `127.0.0.1:${readiness}`, announcements: `127.0.0.1:${announcements}`,
			},
			store: `127.0.0.1:${this.#store.getPort()}`,
			heartbeatSeconds: 0.5,
			bounds: {
				drainSeconds: 2, evacuationSeconds: 5, graceSeconds: 6, maxHoldSeconds: 10, retryRatio: 0.2, retrySlack: 56,
			},
			metricsPort: 0,
			...this.#opts.settings,
		}));
		this.#nodes.push(new RunningNode(file, {callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`}, this.#opts.thrown));
		const backend = new StandInBackend(this.#clock, this.#recorder, {
			id: `server-${service}`,
			service,
			isDivided: false,
			host: '127.0.0.1',
			port: backendServer!,
			failureDomain: 'a',
			nodeAddress: `127.0.0.1:${announcements}`,
			slots: this.#opts.slots ?? 8,
			queueLength: 24,
			heartbeatIntervalMs: 500,
			leaseFactor: 1,
			random: createSystemRandom(),
			generateWorkMs: () => this.#opts.workMs ?? 5,
			...this.#opts.getReadingPace !== undefined && {getReadingPace: this.#opts.getReadingPace},
			...this.#opts.getEndlessAnswer !== undefined && {getEndlessAnswer: this.#opts.getEndlessAnswer},
			createAnswer: this.#opts.createAnswer ?? (requestId => `answer to ${requestId}`),
		});
		this.#backends.push(backend);
		await backend.start();
	}
}
