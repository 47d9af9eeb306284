import type {Configuration, RequestRule, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';

const interactiveDeadlineMs = 2000;
const transactionalDeadlineMs = 5000;
const partitionCount = 64;

/** A service of a deployment. */
export type ServicePlan = {
	readonly name: string;
	/** Whether the service is partitioned by key. */
	readonly divided: boolean;
	/** Number of backend servers. */
	readonly size: number;
	/** Path of its idempotent requests; absent if it has none. */
	readonly lookupPath?: string;
	/** Path of its non-idempotent requests; absent if it has none. */
	readonly orderPath?: string;
};

/** A deployment: one cell across its failure domains. */
export type DeploymentPlan = {
	readonly tenant: string;
	readonly cell: string;
	readonly maxConnections: number;
	readonly failureDomains: readonly string[];
	readonly services: readonly ServicePlan[];
	/** File of the release note, a document of configuration changes, that is applied at the start; if absent, the configuration is written directly to the table service. */
	readonly releaseNote?: string;
};

/** The deployment of Medoplech in sk-east at its current size. */
export const medoplech: DeploymentPlan = {
	tenant: 'medoplech',
	cell: 'sk-east-1',
	maxConnections: 110,
	failureDomains: ['kosice-a', 'kosice-b', 'zilina'],
	releaseNote: 'examples/medoplech.jsonc',
	services: [
		{
			name: 'sklad', divided: true, size: 4, lookupPath: '/lots', orderPath: '/lots',
		},
		{
			name: 'rezervacie', divided: false, size: 3, lookupPath: '/reservations', orderPath: '/reservations',
		},
		{
			name: 'fakturacia', divided: false, size: 3, orderPath: '/invoices',
		},
	],
};

/** The deployment of Kartonpont in hu-central at its current size. */
export const kartonpont: DeploymentPlan = {
	tenant: 'kartonpont',
	cell: 'hu-central-1',
	maxConnections: 100,
	failureDomains: ['budapest', 'gyor', 'szeged'],
	releaseNote: 'examples/kartonpont.jsonc',
	services: [
		{
			name: 'katalogus', divided: true, size: 6, lookupPath: '/designs', orderPath: '/orders',
		},
		{
			name: 'nyomda', divided: false, size: 4, lookupPath: '/presses', orderPath: '/jobs',
		},
		{
			name: 'szamla', divided: false, size: 3, orderPath: '/invoices',
		},
	],
};

/** Returns the failure domain of the VM with the given index; VMs are assigned round-robin. */
export function pickFailureDomain({failureDomains}: DeploymentPlan, index: number): string {
	return failureDomains[index % failureDomains.length] ?? '';
}

/** Creates version 1 of the configuration of a deployment. */
export function createConfiguration(plan: DeploymentPlan): Configuration {
	return {
		version: 1,
		services: plan.services.map(service => createService(plan, service)),
		failureDomains: plan.failureDomains.map(name => ({name, out: false})),
		stoppingVms: [],
		deadVms: [],
	};
}

function createService(plan: DeploymentPlan, service: ServicePlan): ServiceConfiguration {
	return {
		name: service.name,
		tenant: plan.tenant,
		divided: service.divided,
		partitionCount,
		maxConnections: plan.maxConnections,
		coldConcurrency: 4,
		rules: createRules(service),
	};
}

function createRules({lookupPath, orderPath}: ServicePlan): readonly RequestRule[] {
	const order: readonly RequestRule[] = orderPath === undefined || orderPath === lookupPath
		? []
		: [{
			method: '*', pathPrefix: orderPath, idempotent: false, requestClass: 'transactional', defaultDeadlineMs: transactionalDeadlineMs,
		}];
	const lookup: readonly RequestRule[] = lookupPath === undefined
		? []
		: [{
			method: orderPath === lookupPath ? 'GET' : '*', pathPrefix: lookupPath, idempotent: true, requestClass: 'interactive', defaultDeadlineMs: interactiveDeadlineMs,
		}];
	return [...order, ...lookup];
}
