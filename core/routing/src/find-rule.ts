import type {RequestClass, RequestRule, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';

const classOrder: readonly RequestClass[] = ['interactive', 'transactional', 'service-to-service'];

/** How a request is treated. */
export type RequestPolicy = Pick<RequestRule, 'idempotent' | 'requestClass' | 'defaultDeadlineMs'>;

/** A request that no rule names is not idempotent. */
export const fallbackPolicy: RequestPolicy = {idempotent: false, requestClass: 'transactional', defaultDeadlineMs: 1000};

/** Finds the policy of a request: the first rule whose method and path prefix match decides. `path` may carry a query. */
export function findPolicy(service: ServiceConfiguration, method: string, path: string): RequestPolicy {
	const pathname = path.split('?', 1)[0] ?? path;
	return service.rules.find(rule => (rule.method === '*' || rule.method === method) && pathname.startsWith(rule.pathPrefix)) ?? fallbackPolicy;
}

/** Tells whether a caller may ask for the class: that of the rule, or one that is served after it. */
export function mayAskForClass(asked: RequestClass, allowed: RequestClass): boolean {
	return classOrder.indexOf(asked) >= classOrder.indexOf(allowed);
}

/** Reads the name of a class; undefined for any other text. */
export function parseRequestClass(text: string): RequestClass | undefined {
	return classOrder.find(requestClass => requestClass === text);
}
