/** Whether requests of a route may be run more than once. */
export type RouteKind = 'idempotent' | 'non-idempotent';

/** A part of a route's requests. */
export type ServiceWeight = {
	readonly service: string;
	readonly weight: number;
};

/** Where requests of one host and path prefix go, and within which limits. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** 0 is served first. */
	readonly priority: number;
	/** The longest time that a request may be kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** The time within which an answer is worth most, in milliseconds. */
	readonly targetMs: number;
	/** How many backend servers one attempt of a caller may be sent to. */
	readonly maxAttempts: number;
	/** One service, or several that share the requests by weight. */
	readonly services: readonly ServiceWeight[];
};

/** What the operator says of a service. */
export type ServicePolicy = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that one backend server accepts from all its callers. */
	readonly maxConnections: number;
	/** How long a backend server is slow after its start, in milliseconds. */
	readonly coldMs: number;
	/** Requests a second that a cold backend server bears. */
	readonly coldPerS: number;
	/** Its requests carry a key, and one backend server owns each. */
	readonly isDivided: boolean;
};

/** Limits of what callers may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** The operator's configuration of routes. */
export type RouteTable = {
	/** Versions are ordered; a process never goes back to an earlier one. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, ServicePolicy>;
	readonly limits: CallerLimits;
};

/** Finds routes by host and the longest prefix of the path. */
export class RouteIndex {
	readonly #byHost = new Map<string, Map<string, Route>>();

	constructor(table: RouteTable) {
		for (const route of table.routes) {
			const prefixes = this.#byHost.get(route.host) ?? new Map<string, Route>();
			prefixes.set(route.prefix, route);
			this.#byHost.set(route.host, prefixes);
		}
	}

	/** `host` may carry a port, and `path` a query; neither matters. */
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
