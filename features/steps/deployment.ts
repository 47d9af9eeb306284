import {StandInBackendServer} from '@buckthornpoint/backend-server/backend-server.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {startDaemon, type Daemon} from '@buckthornpoint/daemon/daemon.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';

/** Shared operator key of the deployments under test. */
export const operatorKey = 'operator-key-of-this-session';

const slots = 18;
const serviceTimeMs = 2;
const announceIntervalMs = 100;

/** Cell, failure domains and services of a deployment. */
export type DeploymentPlan = {
	readonly cell: string;
	readonly failureDomains: readonly string[];
	/** Number of backend servers by service. */
	readonly services: Readonly<Record<string, number>>;
};

/** The existing deployments at their current sizes. */
export const deploymentPlans: Readonly<Record<string, DeploymentPlan>> = {
	medoplech: {
		cell: 'sk-east-1', failureDomains: ['kosice-a', 'kosice-b', 'zilina'], services: {sklad: 4, rezervacie: 3, fakturacia: 3},
	},
	kartonpont: {
		cell: 'hu-central-1', failureDomains: ['budapest', 'gyor', 'szeged'], services: {katalogus: 6, nyomda: 4, szamla: 3},
	},
};

/** A running VM: a node with its local backend server. */
export type RunningVm = {
	readonly vmId: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly daemon: Daemon;
	readonly backendServer: StandInBackendServer;
};

/** A deployment whose VMs all run in this process. */
export type Deployment = {
	readonly tableService: TableService;
	readonly vms: readonly RunningVm[];
	close(): Promise<void>;
};

/** Starts all VMs of a deployment, without a configuration. */
export async function startDeployment(plan: DeploymentPlan, clock: Clock): Promise<Deployment> {
	const tableService = new TableService(clock);
	const tableStore = await tableService.open();
	const vmNames = Object.entries(plan.services).flatMap(([service, count]) => Array.from({length: count}, (_, index) => ({service, vmId: `${service}-${index + 1}`})));
	const vms = await Promise.all(vmNames.map(async ({service, vmId}, index) => startVm({
		vmId, service, cell: plan.cell, failureDomain: plan.failureDomains[index % plan.failureDomains.length] ?? '', tableStore,
	}, clock)));
	return {
		tableService,
		vms,
		async close() {
			await Promise.all(vms.map(async ({backendServer}) => backendServer.close()));
			await Promise.all(vms.map(async ({daemon}) => daemon.close()));
			await tableService.close();
		},
	};
}

/** Options of a VM. */
export type VmPlan = {
	readonly vmId: string;
	readonly service: string;
	readonly cell: string;
	readonly failureDomain: string;
	readonly tableStore: string;
};

/** Starts a node and its local backend server. */
export async function startVm(plan: VmPlan, clock: Clock): Promise<RunningVm> {
	const {vmId, service, cell, failureDomain, tableStore} = plan;
	const listen = {host: '127.0.0.1', port: 0};
	const daemon = await startDaemon({
		vmId, cell, failureDomain, caller: listen, peer: listen, tableStore, objectStore: tableStore, operatorKey, log: {level: 'error', reporter: 'silent'},
	}, {clock, log: new SilentLog()});
	const backendServer = new StandInBackendServer(clock, {
		name: `${vmId}-server`, service, slots, checksFence: false, incarnation: `${vmId}/1`, nodeOrigin: daemon.callerOrigin, serviceTimeMs, announceIntervalMs,
	});
	await backendServer.open();
	return {
		vmId, service, failureDomain, daemon, backendServer,
	};
}
