import type {NodeProblem} from './read-nodes.js';

/** Counts, or rates per second, by name. */
export type Counts = Readonly<Record<string, number>>;

/** Refusals for one reason and priority. The priority is empty if no route was chosen. */
export type RefusalCount = {readonly reason: string; readonly priority: string; readonly count: number};

/** Requests of one client account. */
export type AccountCount = {readonly account: string; readonly outcomes: Counts};

/** The load of a backend server, or of all servers of a service. A value is undefined if a node does not state it. */
export type ServerLoad = {
	readonly running: number | undefined;
	readonly waiting: number | undefined;
	readonly slots: number | undefined;
	readonly demand: number | undefined;
	readonly capacityPerS: number | undefined;
	readonly offeredPerS: number | undefined;
	/** Undefined also without an advertised limit. */
	readonly limitPerS: number | undefined;
	/** Retry times that the servers promised, and what became of them. */
	readonly retryTimes: Counts;
};

/** One node and the backend server beside it. */
export type NodeReport = ServerLoad & {
	readonly address: string;
	readonly vm: string | undefined;
	readonly failureDomain: string | undefined;
	readonly service: string | undefined;
	readonly server: string | undefined;
	readonly state: string | undefined;
	/** Whether the server takes requests; true if the node does not state it. */
	readonly isReady: boolean;
	/** 1 less the demand, at least 0; undefined if no server is ready. */
	readonly freeShare: number | undefined;
	readonly isController: boolean;
	readonly routesVersion: number | undefined;
	readonly bodyBytes: number | undefined;
	readonly bodyLimitBytes: number | undefined;
	readonly bodyRefusals: number | undefined;
	readonly bodyEvictions: number | undefined;
	readonly closedConnections: number | undefined;
};

/** One service: the servers of the read nodes, and the requests that entered at these nodes. */
export type ServiceReport = ServerLoad & {
	/** Undefined for requests that were refused before a route was chosen, and for servers whose service the node does not state. */
	readonly service: string | undefined;
	readonly servers: number;
	/** Servers that take requests. Slots, demand, capacity and limits are those of these servers. */
	readonly readyServers: number;
	/** Servers whose advertised limits make up `limitPerS`. */
	readonly limitedServers: number;
	readonly requests: Counts;
	readonly refusals: readonly RefusalCount[];
	readonly secondTries: Counts;
};

/** What the metrics of the nodes of a fleet say. */
export type FleetReport = {
	/** `total`: counts since the start of each node. `per-second`: rates over the interval. */
	readonly unit: 'total' | 'per-second';
	readonly isPartial: boolean;
	readonly services: readonly ServiceReport[];
	/** Requests that nodes rejected themselves, by status. */
	readonly rejections: Counts;
	readonly accounts: readonly AccountCount[];
	/** The least free capacity first. */
	readonly nodes: readonly NodeReport[];
	readonly unreadable: readonly NodeProblem[];
};
