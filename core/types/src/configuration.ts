import type {FailureDomainName, ServiceName, VmId} from './identity.js';

/** The class of a request. It decides the order in which waiting requests are served. */
export type RequestClass = 'interactive' | 'transactional' | 'service-to-service';

/** Matches requests of a service by method and path, and sets whether they are idempotent, their class and their default deadline. */
export type RequestRule = {
	/** HTTP method in capitals, or `*`. */
	readonly method: string;
	/** Prefix of the path, such as `/lots`. */
	readonly pathPrefix: string;
	readonly idempotent: boolean;
	readonly requestClass: RequestClass;
	/** Deadline of a request that specifies none. */
	readonly defaultDeadlineMs: number;
};

/** Configuration of a service. */
export type ServiceConfiguration = {
	readonly name: ServiceName;
	readonly tenant: string;
	/** Whether the service is partitioned by key, with the state of each key at its owner. Idempotent requests to any other service may run on any of its backend servers. */
	readonly divided: boolean;
	/** A power of two, fixed when the service is created. */
	readonly partitionCount: number;
	/** Maximum number of connections that the nodes open to one of its backend servers. */
	readonly maxConnections: number;
	/** Initial concurrency limit of a backend server that has just started. */
	readonly coldConcurrency: number;
	/** The first matching rule applies; a request without a match is not idempotent. */
	readonly rules: readonly RequestRule[];
};

/** Configuration of a failure domain. */
export type FailureDomainConfiguration = {
	readonly name: FailureDomainName;
	/** Whether operators took it out of service, so that it gets no new work. */
	readonly out: boolean;
};

/** The configuration of a deployment. Its version only increases. */
export type Configuration = {
	readonly version: number;
	readonly services: readonly ServiceConfiguration[];
	readonly failureDomains: readonly FailureDomainConfiguration[];
	/** VMs that operators are stopping. */
	readonly stoppingVms: readonly VmId[];
	/** VMs that operators declared dead. The operators guarantee that no process on them is running. */
	readonly deadVms: readonly VmId[];
};

/** The configuration of a deployment before its setup. */
export const emptyConfiguration: Configuration = {
	version: 0, services: [], failureDomains: [], stoppingVms: [], deadVms: [],
};
