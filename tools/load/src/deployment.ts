import {StandInBackendServer, type BackendServerOpts} from '@buckthornpoint/backend-server/backend-server.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {startDaemon, type Daemon} from '@buckthornpoint/daemon/daemon.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {request} from 'undici';
import {
	createConfiguration, pickFailureDomain, type DeploymentPlan, type ServicePlan,
} from './deployments.js';

const statusOk = 200;
const pollMs = 50;
const setupDeadlineMs = 30_000;
const probesPerService = 32;

/** What the backend servers of a deployment share. */
export type DeploymentOpts = {
	readonly serviceTimeMs: number;
	readonly slots: number;
	readonly coldStart?: BackendServerOpts['coldStart'];
};

/** A VM of a deployment that runs in this process. */
export type RunningVm = {
	readonly vmId: string;
	readonly service: string;
	readonly daemon: Daemon;
	readonly backendServer: StandInBackendServer;
};

/** A deployment that runs in this process, on loopback. */
export type Deployment = {
	readonly plan: DeploymentPlan;
	readonly tableService: TableService;
	readonly vms: readonly RunningVm[];
	/** Stops the backend servers, the nodes and the table service. */
	close(): Promise<void>;
};

/** Starts all processes of a deployment, puts its configuration in force and waits until every service answers. */
export async function startDeployment(plan: DeploymentPlan, clock: Clock, opts: DeploymentOpts): Promise<Deployment> {
	const tableService = new TableService(clock);
	const tableStore = await tableService.open();
	await writeConfiguration(tableStore, createConfiguration(plan));
	const placed = plan.services.flatMap(service => Array.from({length: service.size}, () => service));
	const vms = await Promise.all(placed.map(async (service, index) => startVm({
		plan, service, index, tableStore,
	}, clock, opts)));
	const deployment: Deployment = {
		plan,
		tableService,
		vms,
		async close() {
			await Promise.all(vms.map(async ({daemon}) => daemon.close()));
			await Promise.all(vms.map(async ({backendServer}) => backendServer.close()));
			await tableService.close();
		},
	};
	await waitUntilServed(deployment, clock);
	return deployment;
}

/** Writes a configuration to the row from which nodes read it. */
export async function writeConfiguration(tableStore: string, configuration: Configuration): Promise<void> {
	const response = await request(`${tableStore}/v1/transactions`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({writeId: 'setup', conditions: [], writes: [{key: 'configuration', value: configuration}]}),
	});
	await response.body.dump();
}

/** Creates the settings of a node of a deployment on loopback. */
export function createNodeSettings(plan: DeploymentPlan, index: number, tableStore: string): NodeSettings {
	return {
		vmId: `${plan.cell}-vm-${index + 1}`,
		cell: plan.cell,
		failureDomain: pickFailureDomain(index),
		caller: {host: '127.0.0.1', port: 0},
		peer: {host: '127.0.0.1', port: 0},
		tableStore,
		objectStore: tableStore,
		operatorKey: 'operator-key-of-the-demo',
		log: {level: 'error', reporter: 'silent'},
	};
}

type VmPlan = {
	readonly plan: DeploymentPlan;
	readonly service: ServicePlan;
	readonly index: number;
	readonly tableStore: string;
};

async function startVm({plan, service, index, tableStore}: VmPlan, clock: Clock, opts: DeploymentOpts): Promise<RunningVm> {
	const settings = createNodeSettings(plan, index, tableStore);
	const daemon = await startDaemon(settings, {clock, log: new SilentLog()});
	const backendServer = new StandInBackendServer(clock, {
		...opts,
		name: `${service.name}-${index + 1}`,
		service: service.name,
		checksFence: false,
		incarnation: `${settings.vmId}/1`,
		nodeOrigin: daemon.callerOrigin,
		announceIntervalMs: 500,
		random: new SeededRandom(index + 1),
	});
	await backendServer.open();
	return {
		vmId: settings.vmId, service: service.name, daemon, backendServer,
	};
}

async function waitUntilServed({plan, vms}: Deployment, clock: Clock): Promise<void> {
	const startMs = clock.readMoment().monotonicMs;
	for (const service of plan.services) {
		for (let probe = 0; probe < probesPerService; probe++) {
			const origin = vms[probe % vms.length]?.daemon.callerOrigin ?? '';
			while (!await probeService(origin, service, `probe-${probe}`)) {
				if (clock.readMoment().monotonicMs - startMs > setupDeadlineMs) {
					throw new Error(`${service.name} did not answer within ${setupDeadlineMs} ms of the start`);
				}

				await clock.sleep(pollMs);
			}
		}
	}
}

async function probeService(origin: string, service: ServicePlan, key: string): Promise<boolean> {
	const response = await request(`${origin}${service.lookupPath}`, {
		method: 'POST', body: key, headers: {'buckthornpoint-service': service.name, 'buckthornpoint-key': key},
	});
	await response.body.dump();
	return response.statusCode === statusOk;
}
