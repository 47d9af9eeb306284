import type {FleetStore} from '@buckthornpoint/fleet/fleet-store.js';
import type {ControllerQuorum} from '@buckthornpoint/key-ranges/controller-quorum.js';
import type {RangeMap} from '@buckthornpoint/key-ranges/range-map.js';
import type {CellVersions, DecodedMaps} from './cell-snapshot.js';
import type {ControllerRecord} from './controller-record.js';
import type {LeaveRecord} from './leave-record.js';

/** Identifies the node process that holds a controller lease. */
export type ControlIdentity = {
	readonly vmId: string;
	/** Unique for each instance of the node process. */
	readonly incarnation: string;
	readonly address: string;
};

/** Dependencies of a `ControllerLease`. */
export type ControllerLeaseOpts = {
	readonly identity: ControlIdentity;
	readonly store: FleetStore;
	/** The highest controller epoch that this node has received. */
	readonly getEpoch: () => number;
	/** Reads a monotonic clock. */
	readonly readNowMs: () => number;
	readonly readWallMs: () => number;
	/** Called with the leave records that each lookup of the controller finds. */
	readonly onLeaves: (leaves: readonly LeaveRecord[]) => void;
};

/** State found in the store when this node took over as controller. */
export type Takeover = DecodedMaps & {
	readonly record: ControllerRecord;
	readonly previousRecord: ControllerRecord | undefined;
	/** Whether the store returned from an older copy since the maps were known to agree with what their owners hold. */
	readonly isAfterReturn: boolean;
	/** Upper bound on the remaining time of leases granted by any earlier controller. */
	readonly earlierLeasesMs: number;
	/** The same bound for the controllers before the previous one. */
	readonly inheritedLeasesMs: number;
	/** The members that bind the leases of the previous controller, if these are known. */
	readonly quorum: ControllerQuorum | undefined;
	readonly leaves: readonly LeaveRecord[];
};

/** Result of a controller lookup. `contested`: there is no controller, and this node did not become it. */
export type ControllerSearchResult = {readonly kind: 'other'; readonly address: string} | {readonly kind: 'taken'; readonly takeover: Takeover} | {readonly kind: 'contested'};

/** State of the stored rows after a write that failed or whose outcome is unknown. */
export type ReadBackResult
	= | {readonly kind: 'held'; readonly written: readonly RangeMap[]; readonly rowVersion: number; readonly heldVersion: number}
		| {readonly kind: 'lost'; readonly epoch: number};

/** State that a renewal writes. */
export type Renewal = {
	readonly maps: readonly RangeMap[];
	/** Remaining time of leases granted by earlier controllers. */
	readonly earlierLeasesMs: number;
	/** The members that are to bind the controller's leases. */
	readonly quorum: ControllerQuorum | undefined;
	/** The VMs whose nodes may hold shares of rate limits; undefined without such limits. */
	readonly shareHolders?: readonly string[] | undefined;
	/** Whether the maps agree with what their owners hold; not yet so while a controller recovers after a return of the store. */
	readonly areMapsCurrent: boolean;
};

/** The controller's row as of its last acknowledged write. */
export type HeldRow = CellVersions & {
	readonly record: ControllerRecord;
	/** Upper bound of the store's clock at the local time `storeTimeSampledAtMs`. */
	readonly maxStoreTimeMs: number;
	readonly storeTimeSampledAtMs: number;
	readonly renewedMs: number;
};
