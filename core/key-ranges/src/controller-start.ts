import type {SilenceTimeouts} from './classify-backend.js';
import type {Balance} from './controller-state.js';
import type {DirectorySnapshot} from './directory-log.js';
import type {EraRecoveryStart} from './era-recovery.js';
import type {EarlierLeases} from './lease-table.js';
import type {LeavingInstances} from './leaving-instances.js';
import type {RangeMap} from './range-map.js';

/** Times of a controller, in milliseconds. */
export type RangeControllerOpts = SilenceTimeouts & {
	/** Duration of the lease that a heartbeat reply grants. */
	readonly leaseMs: number;
	/** Time from the first heartbeat with a backend server of a service to the first map of the service, so that servers that start at about the same time all receive ranges. */
	readonly startGatheringMs: number;
	/** How long VMs without heartbeats stay in the directory. */
	readonly vmRetentionMs: number;
	/** The usual one if undefined. */
	readonly balance?: Balance;
};

/** State that a controller's node received from the previous controller. */
export type InheritedState = {
	readonly leavingInstances?: LeavingInstances;
	readonly directory?: DirectorySnapshot | undefined;
	readonly maps?: readonly RangeMap[];
};

/** Initial state of a controller, inherited from its predecessors. */
export type ControllerStart = EarlierLeases & Omit<InheritedState, 'maps'> & {
	readonly epoch: number;
	readonly maps: readonly RangeMap[];
	/** Services that have owners which this controller does not know, since their maps could not be read. */
	readonly unreadableServices?: ReadonlySet<string>;
	/** The present era of the store. */
	readonly era?: number;
	/** Set if the store returned from an older copy since the maps were written: they may be older than what their owners hold. */
	readonly recovery?: Pick<EraRecoveryStart, 'knownVms'>;
	/** Time of the takeover on this controller's clock. */
	readonly startMs: number;
};
