import type {NodeAddresses} from '@buckthornpoint/types/membership.js';
import type {CellId, FailureDomainName, VmId} from '@buckthornpoint/types/identity.js';

/** Address at which a process listens. */
export type ListenAddress = {
	readonly host: string;
	readonly port: number;
};

/** Log settings of a process. */
export type LogSettings = {
	readonly level: 'error' | 'warn' | 'info' | 'debug';
	readonly reporter: 'human' | 'json' | 'silent';
};

/** Where metrics are sent. No metrics are sent if this is absent. */
export type MetricsSettings = {
	readonly host: string;
	readonly port: number;
	readonly prefix: string;
};

/** The settings of a node. */
export type NodeSettings = {
	readonly vmId: VmId;
	readonly cell: CellId;
	readonly failureDomain: FailureDomainName;
	/** Interface for callers, backend servers and operators. */
	readonly caller: ListenAddress;
	/** Interface between nodes. */
	readonly peer: ListenAddress;
	/** Addresses at which others reach the node. By default the addresses at which it listens. */
	readonly advertised?: Partial<NodeAddresses>;
	/** Origin of the platform's table service. */
	readonly tableStore: string;
	/** Origin of the platform's object store. */
	readonly objectStore: string;
	/** Shared key of the operators' interface. */
	readonly operatorKey: string;
	readonly log: LogSettings;
	readonly metrics?: MetricsSettings;
};
