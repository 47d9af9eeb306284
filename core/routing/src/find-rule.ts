import type {RequestClass, RequestRule, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';

const classesByPriority: readonly RequestClass[] = ['interactive', 'transactional', 'service-to-service'];

/** How a request is handled. */
export type RequestPolicy = Pick<RequestRule, 'idempotent' | 'requestClass' | 'defaultDeadlineMs'>;

/** Policy of requests that no rule matches: they are treated as not idempotent. */
export const fallbackPolicy: RequestPolicy = {idempotent: false, requestClass: 'transactional', defaultDeadlineMs: 1000};

/**
 * Returns the policy of a request: that of the first rule whose method and path prefix match. `path` may have a query
 * string.
 */
export function findPolicy(service: ServiceConfiguration, method: string, path: string): RequestPolicy {
	const pathname = path.split('?', 1)[0] ?? path;
	return service.rules.find(rule => (rule.method === '*' || rule.method === method) && pathname.startsWith(rule.pathPrefix)) ?? fallbackPolicy;
}

/** Returns whether a caller may request the class: it must be the class of the rule or one of lower priority. */
export function mayRequestClass(requested: RequestClass, allowed: RequestClass): boolean {
	return classesByPriority.indexOf(requested) >= classesByPriority.indexOf(allowed);
}

/** Parses the name of a request class; returns undefined for any other string. */
export function parseRequestClass(text: string): RequestClass | undefined {
	return classesByPriority.find(requestClass => requestClass === text);
}
