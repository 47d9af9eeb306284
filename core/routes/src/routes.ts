import type {ClientAccount} from '@buckthornpoint/accounts/client-account.js';

/** Whether requests of a route may be executed more than once. */
export type RouteKind = 'idempotent' | 'non-idempotent';

/** The weight of a service in the split of a route. */
export type ServiceWeight = {
	readonly service: string;
	readonly weight: number;
};

/** Services and limits for the requests of one host and path prefix. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Path prefix that starts and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** Priority 0 is served first. */
	readonly priority: number;
	/** Upper bound of a request's deadline, counted from its arrival. */
	readonly timeoutMs: number;
	/** Latency target: a response within it has the most value. */
	readonly targetMs: number;
	/** Maximum number of backend servers to which one attempt of a caller is sent. */
	readonly maxAttempts: number;
	/** One service, or several among which the requests are split by weight. */
	readonly services: readonly ServiceWeight[];
};

/** The operator's settings of a service. */
export type ServicePolicy = {
	readonly name: string;
	readonly healthPath: string;
	/** Maximum number of connections that one backend server accepts from all its callers. */
	readonly maxConnections: number;
	/** Warm-up time of a backend server after its start. */
	readonly coldMs: number;
	/** Requests per second that a cold backend server can handle. */
	readonly coldPerS: number;
	/** Whether the service is partitioned by key: its requests carry a key, and each key is owned by one backend server. */
	readonly isDivided: boolean;
};

/** Limits for requests of callers. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** The operator's routing configuration. */
export type RouteTable = {
	/** Versions are ordered; a process never returns to an earlier version. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, ServicePolicy>;
	readonly limits: CallerLimits;
	/** The client accounts; none if the configuration names none. */
	readonly accounts?: readonly ClientAccount[];
};

/** Returns whether the routes of a service have more than one priority, so that its capacity is shared among them. */
export function hasSeveralPriorities(table: RouteTable, service: string): boolean {
	return new Set(table.routes.filter(({services}) => services.some(each => each.service === service)).map(({priority}) => priority)).size > 1;
}

/** Index of routes by host and longest path prefix. */
export class RouteIndex {
	readonly #byHost = new Map<string, Map<string, Route>>();

	constructor(table: RouteTable) {
		for (const route of table.routes) {
			const prefixes = this.#byHost.get(route.host) ?? new Map<string, Route>();
			prefixes.set(route.prefix, route);
			this.#byHost.set(route.host, prefixes);
		}
	}

	/** Finds the route of a request. A port in `host` and a query in `path` are ignored. */
	findRoute(host: string, path: string): Route | undefined {
		const prefixes = this.#byHost.get(removePort(host).toLowerCase());
		if (prefixes === undefined) {
			return undefined;
		}

		const query = path.indexOf('?');
		let end = query === -1 ? path.length : query;
		while (end > 0) {
			const slash = path.lastIndexOf('/', end - 1);
			if (slash === -1) {
				return undefined;
			}

			const route = prefixes.get(path.slice(0, slash + 1));
			if (route !== undefined) {
				return route;
			}

			end = slash;
		}

		return undefined;
	}
}

function removePort(host: string): string {
	const colon = host.lastIndexOf(':');
	return colon === -1 || host.endsWith(']') ? host : host.slice(0, colon);
}
