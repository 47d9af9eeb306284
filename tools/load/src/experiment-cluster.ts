import type {BackendServerFaults} from '@buckthornpoint/backend-server/faults.js';
import type {BackendServerCounts} from '@buckthornpoint/backend-server/run-counter.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';
import {readCounts, setCold, setFaults} from './backend-control.js';
import {MeasuredProcess} from './child-process.js';
import {createNodeSettings, writeConfiguration} from './deployment.js';
import {createConfiguration, type DeploymentPlan} from './deployments.js';
import type {ExperimentSettings} from './experiment-settings.js';

const requestsPerStep = 20;
const coldSlowdown = 10;
const pollMs = 50;
const setupDeadlineMs = 20_000;
const statusOk = 200;
const probeCount = 64;

/** Failure domains, assigned to the VMs round-robin. */
export const experimentDomains = ['kosice-a', 'kosice-b', 'zilina'] as const;

/** The service that experiments call. */
export const experimentService = {
	name: 'rezervacie', lookupPath: '/grades',
} as const;

/** The simulated VMs of one experiment step, each a process with a node and a backend server. */
export class ExperimentCluster {
	readonly #clock: Clock;
	readonly #settings: ExperimentSettings;
	readonly #tableService: TableService;
	readonly #vms: readonly MeasuredProcess[];
	#configuration: Configuration;
	#tableStore = '';

	constructor(clock: Clock, settings: ExperimentSettings) {
		this.#clock = clock;
		this.#settings = settings;
		this.#tableService = new TableService(clock);
		this.#vms = Array.from({length: settings.size}, () => new MeasuredProcess());
		this.#configuration = createConfiguration(createPlan(settings));
	}

	get callerOrigins(): readonly string[] {
		return this.#vms.map(({callerOrigin}) => callerOrigin);
	}

	get backendOrigins(): readonly string[] {
		return this.#vms.map(({backendOrigin}) => backendOrigin);
	}

	/** Starts all processes and waits until the service answers through the nodes. */
	async open(seed: number): Promise<void> {
		this.#tableStore = await this.#tableService.open();
		await writeConfiguration(this.#tableStore, this.#configuration);
		const {slots, serviceTimeMs, coldConcurrency} = this.#settings;
		await Promise.all(this.#vms.map(async (vm, index) => vm.open({
			node: createNodeSettings(createPlan(this.#settings), index, this.#tableStore),
			backendServer: {
				name: `rezervacie-${index + 1}`,
				service: experimentService.name,
				slots,
				checksFence: false,
				incarnation: `${index + 1}/1`,
				nodeOrigin: '',
				serviceTimeMs,
				announceIntervalMs: 500,
				seed: seed + index,
				coldStart: coldConcurrency === 0 ? undefined : {concurrency: coldConcurrency, requestsPerStep, slowdown: coldSlowdown},
			},
		})));
		await this.#waitUntilServing();
	}

	/** Stops all processes. */
	async close(): Promise<void> {
		await Promise.all(this.#vms.map(async vm => vm.close()));
		await this.#tableService.close();
	}

	/** Fetches the request counters of each backend server, counted since its start. */
	async readCounts(): Promise<readonly BackendServerCounts[]> {
		return Promise.all(this.backendOrigins.map(async origin => readCounts(origin)));
	}

	/** Updates the injected faults of a backend server. */
	async setFaults(index: number, faults: Partial<BackendServerFaults>): Promise<void> {
		await setFaults(this.backendOrigins[index] ?? '', faults);
	}

	/** Makes a backend server cold, with or without a simulated restart. */
	async setCold(index: number, mode: 'restart' | 'cold'): Promise<void> {
		await setCold(this.backendOrigins[index] ?? '', mode);
	}

	/** Takes a failure domain out of service, or returns it to service, through a new configuration version. */
	async setFailureDomain(name: string, out: boolean): Promise<void> {
		this.#configuration = {
			...this.#configuration,
			version: this.#configuration.version + 1,
			failureDomains: this.#configuration.failureDomains.map(domain => domain.name === name ? {name, out} : domain),
		};
		await writeConfiguration(this.#tableStore, this.#configuration);
	}

	async #waitUntilServing(): Promise<void> {
		const startMs = this.#clock.readTimestamp().monotonicMs;
		for (let probe = 0; probe < probeCount; probe++) {
			while (!await probeNode(this.callerOrigins[probe % this.callerOrigins.length] ?? '', `probe-${probe}`)) {
				if (this.#clock.readTimestamp().monotonicMs - startMs > setupDeadlineMs) {
					throw new Error('the service did not answer all probe requests through the nodes within the setup deadline');
				}

				await this.#clock.sleep(pollMs);
			}
		}
	}
}

/** Returns the indexes of the VMs of a failure domain. */
export function listVmIndexes(failureDomain: string, size: number): readonly number[] {
	return Array.from({length: size}, (_, index) => index).filter(index => experimentDomains[index % experimentDomains.length] === failureDomain);
}

function createPlan({divided, size}: ExperimentSettings): DeploymentPlan {
	return {
		tenant: 'medoplech', cell: 'sk-east-1', maxConnections: 110, failureDomains: experimentDomains, services: [{...experimentService, divided, size}],
	};
}

async function probeNode(origin: string, key: string): Promise<boolean> {
	const response = await sendRequest(`${origin}${experimentService.lookupPath}`, {
		method: 'POST', body: key, headers: {'buckthornpoint-service': experimentService.name, 'buckthornpoint-key': key},
	});
	await response.body.dump();
	return response.statusCode === statusOk;
}
