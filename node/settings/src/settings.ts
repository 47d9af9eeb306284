import type {NodeAddresses} from '@buckthornpoint/types/membership.js';
import type {CellId, FailureDomainName, VmId} from '@buckthornpoint/types/identity.js';

/** Where a process listens. */
export type ListenAddress = {
	readonly host: string;
	readonly port: number;
};

/** How a process logs. */
export type LogSettings = {
	readonly level: 'error' | 'warn' | 'info' | 'debug';
	readonly reporter: 'human' | 'json' | 'silent';
};

/** Where metrics go; absent when none are sent. */
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
	/** Addresses under which others reach the node; by default those it listens on. */
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
