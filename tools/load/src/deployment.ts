import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import type {BackendServerOpts} from '@buckthornpoint/backend-server/backend-server.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';
import {MeasuredProcess} from './child-process.js';
import {
	createConfiguration, pickFailureDomain, type DeploymentPlan, type ServicePlan,
} from './deployments.js';

const operatorKey = 'operator-key-of-the-demo';
const statusOk = 200;
const pollMs = 50;
const setupDeadlineMs = 30_000;
const probesPerService = 32;

/** Options that all backend servers of a deployment share. */
export type DeploymentOpts = {
	readonly serviceTimeMs: number;
	readonly slots: number;
	readonly coldStart?: BackendServerOpts['coldStart'];
};

/** A simulated VM of a deployment: a process with a node and a backend server. */
export type RunningVm = {
	readonly service: string;
	readonly process: MeasuredProcess;
};

/** A deployment that runs on loopback, each VM as a separate process. */
export type Deployment = {
	readonly plan: DeploymentPlan;
	readonly tableService: TableService;
	readonly vms: readonly RunningVm[];
	/** Stops all processes and the table service. */
	close(): Promise<void>;
};

/** Starts all processes of a deployment, applies its configuration and waits until every service answers. */
export async function startDeployment(plan: DeploymentPlan, clock: Clock, opts: DeploymentOpts): Promise<Deployment> {
	const tableService = new TableService(clock);
	const tableStore = await tableService.open();
	if (plan.releaseNote === undefined) {
		await writeConfiguration(tableStore, createConfiguration(plan));
	}

	const vms = plan.services.flatMap(service => Array.from({length: service.size}, () => ({service: service.name, process: new MeasuredProcess()})));
	const deployment: Deployment = {
		plan,
		tableService,
		vms,
		async close() {
			await Promise.all(vms.map(async vm => vm.process.close()));
			await tableService.close();
		},
	};
	try {
		await openVms(deployment, {...opts, tableStore});
		if (plan.releaseNote !== undefined) {
			await applyReleaseNote(vms[0]?.process.callerOrigin ?? '', plan.releaseNote);
		}

		await waitUntilServing(deployment, clock);
	} catch (error) {
		await Promise.all(vms.map(async vm => vm.process.stopImmediately()));
		await tableService.close();
		throw error;
	}

	return deployment;
}

async function openVms({plan, vms}: Deployment, opts: DeploymentOpts & {readonly tableStore: string}): Promise<void> {
	const {tableStore, ...shared} = opts;
	await Promise.all(vms.map(async (vm, index) => vm.process.open({
		node: createNodeSettings(plan, index, tableStore),
		backendServer: {
			...shared,
			name: `${vm.service}-${index + 1}`,
			service: vm.service,
			checksFence: false,
			incarnation: `${plan.cell}/${index + 1}`,
			nodeOrigin: '',
			announceIntervalMs: 500,
			seed: index + 1,
		},
	})));
}

/** Writes a configuration to the row of the table service from which nodes read it. */
export async function writeConfiguration(tableStore: string, configuration: Configuration): Promise<void> {
	const response = await sendRequest(`${tableStore}/v1/transactions`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({writeId: 'setup', conditions: [], writes: [{key: 'configuration', value: configuration}]}),
	});
	await response.body.dump();
}

/** Applies a release note through the operator interface of a node. */
async function applyReleaseNote(origin: string, file: string): Promise<void> {
	const response = await sendRequest(`${origin}/v1/operator/notes`, {
		method: 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${operatorKey}`},
		body: JSON.stringify({
			changeId: randomUUID(), operator: 'demo', checkOnly: false, force: false, file, text: await readFile(file, 'utf8'),
		}),
	});
	const text = await response.body.text();
	if (response.statusCode !== statusOk) {
		throw new Error(`release note ${file} was rejected: ${text}`);
	}
}

/** Creates the settings of a node of a deployment on loopback. */
export function createNodeSettings(plan: DeploymentPlan, index: number, tableStore: string): NodeSettings {
	return {
		vmId: `${plan.cell}-vm-${index + 1}`,
		cell: plan.cell,
		failureDomain: pickFailureDomain(plan, index),
		caller: {host: '127.0.0.1', port: 0},
		peer: {host: '127.0.0.1', port: 0},
		tableStore,
		objectStore: tableStore,
		operatorKey,
		log: {level: 'error', reporter: 'silent'},
	};
}

async function waitUntilServing({plan, vms}: Deployment, clock: Clock): Promise<void> {
	const startMs = clock.readTimestamp().monotonicMs;
	for (const service of plan.services) {
		for (let probe = 0; probe < probesPerService; probe++) {
			const origin = vms[probe % vms.length]?.process.callerOrigin ?? '';
			while (!await probeService(origin, service, `probe-${probe}`)) {
				if (clock.readTimestamp().monotonicMs - startMs > setupDeadlineMs) {
					throw new Error(`${service.name} did not answer within ${setupDeadlineMs} ms of the start`);
				}

				await clock.sleep(pollMs);
			}
		}
	}
}

async function probeService(origin: string, service: ServicePlan, key: string): Promise<boolean> {
	const method = service.lookupPath === undefined ? 'POST' : 'GET';
	const response = await sendRequest(`${origin}${service.lookupPath ?? service.orderPath ?? '/'}`, {
		method, headers: {'buckthornpoint-service': service.name, 'buckthornpoint-key': key},
	});
	await response.body.dump();
	return response.statusCode === statusOk;
}
