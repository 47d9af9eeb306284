import type {Configuration, RequestRule, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';

const interactiveDeadlineMs = 2000;
const transactionalDeadlineMs = 5000;
const divisionPartitions = 64;
const failureDomains = ['fd-1', 'fd-2', 'fd-3'] as const;

/** A service and how many backend servers bear it. */
export type ServicePlan = {
	readonly name: string;
	readonly divided: boolean;
	readonly size: number;
	/** Path of its idempotent requests. */
	readonly lookupPath: string;
	/** Path of its non-idempotent requests; absent when it has none. */
	readonly orderPath?: string;
};

/** One deployment: a cell over three failure domains. */
export type DeploymentPlan = {
	readonly tenant: string;
	readonly cell: string;
	readonly maxConnections: number;
	readonly services: readonly ServicePlan[];
};

/** Medoplech in sk-east at today's sizes. */
export const medoplech: DeploymentPlan = {
	tenant: 'medoplech',
	cell: 'sk-east-1',
	maxConnections: 110,
	services: [
		{
			name: 'sklad', divided: true, size: 4, lookupPath: '/lots', orderPath: '/lots-orders',
		},
		{
			name: 'rezervacie', divided: false, size: 3, lookupPath: '/grades', orderPath: '/reservations',
		},
		{
			name: 'fakturacia', divided: false, size: 3, lookupPath: '/tariffs', orderPath: '/invoices',
		},
	],
};

/** Kartonpont in hu-central at today's sizes. */
export const kartonpont: DeploymentPlan = {
	tenant: 'kartonpont',
	cell: 'hu-central-1',
	maxConnections: 100,
	services: [
		{
			name: 'katalogus', divided: true, size: 6, lookupPath: '/designs', orderPath: '/orders',
		},
		{
			name: 'nyomda', divided: false, size: 4, lookupPath: '/press-status', orderPath: '/print-jobs',
		},
		{
			name: 'szamla', divided: false, size: 3, lookupPath: '/price-lists', orderPath: '/invoices',
		},
	],
};

/** Returns the failure domain of the VM with the given number. */
export function pickFailureDomain(index: number): string {
	return failureDomains[index % failureDomains.length] ?? failureDomains[0];
}

/** Creates the configuration of a deployment. */
export function createConfiguration(plan: DeploymentPlan): Configuration {
	return {
		version: 1,
		services: plan.services.map(service => createService(plan, service)),
		failureDomains: failureDomains.map(name => ({name, out: false})),
		stoppingVms: [],
		deadVms: [],
	};
}

function createService(plan: DeploymentPlan, service: ServicePlan): ServiceConfiguration {
	return {
		name: service.name,
		tenant: plan.tenant,
		divided: service.divided,
		partitionCount: divisionPartitions,
		maxConnections: plan.maxConnections,
		coldConcurrency: 4,
		rules: createRules(service),
	};
}

function createRules(service: ServicePlan): readonly RequestRule[] {
	const order: readonly RequestRule[] = service.orderPath === undefined
		? []
		: [{
			method: '*', pathPrefix: service.orderPath, idempotent: false, requestClass: 'transactional', defaultDeadlineMs: transactionalDeadlineMs,
		}];
	return [...order, {
		method: '*', pathPrefix: service.lookupPath, idempotent: true, requestClass: 'interactive', defaultDeadlineMs: interactiveDeadlineMs,
	}];
}
