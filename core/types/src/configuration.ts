import type {FailureDomainName, ServiceName, VmId} from './identity.js';

/** The class of a request. It decides the order in which waiting requests are served. */
export type RequestClass = 'interactive' | 'transactional' | 'service-to-service';

/** Names the methods and paths of a service whose requests may be repeated, and their class. */
export type RequestRule = {
	/** HTTP method in capitals, or `*`. */
	readonly method: string;
	/** Prefix of the path, such as `/lots`. */
	readonly pathPrefix: string;
	readonly idempotent: boolean;
	readonly requestClass: RequestClass;
	/** Deadline of a request that names none, in milliseconds. */
	readonly defaultDeadlineMs: number;
};

/** A service as operators describe it. */
export type ServiceConfiguration = {
	readonly name: ServiceName;
	readonly tenant: string;
	/** Whether each key has state at its owner. An undivided service serves idempotent requests anywhere. */
	readonly divided: boolean;
	/** A power of two, fixed when the service is created. */
	readonly partitionCount: number;
	/** The most connections that the nodes open to one of its backend servers. */
	readonly maxConnections: number;
	/** The first concurrency limit of a backend server that has just started. */
	readonly coldConcurrency: number;
	/** First match decides; without a match a request is not idempotent. */
	readonly rules: readonly RequestRule[];
};

/** A failure domain as operators describe it. */
export type FailureDomainConfiguration = {
	readonly name: FailureDomainName;
	/** Whether operators took it out: it gets no new work. */
	readonly out: boolean;
};

/** The whole configuration of a deployment. Its version only grows. */
export type Configuration = {
	readonly version: number;
	readonly services: readonly ServiceConfiguration[];
	readonly failureDomains: readonly FailureDomainConfiguration[];
	/** VMs that operators are stopping. */
	readonly stoppingVms: readonly VmId[];
	/** VMs that operators declared dead: they vouch that the processes on them run no more. */
	readonly deadVms: readonly VmId[];
};

/** The configuration of a deployment that has not been set up yet. */
export const emptyConfiguration: Configuration = {
	version: 0, services: [], failureDomains: [], stoppingVms: [], deadVms: [],
};
