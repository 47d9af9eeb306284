import type {ClientAccount} from '@buckthornpoint/accounts/client-account.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {FleetStore} from '@buckthornpoint/fleet/fleet-store.js';
import type {OwnershipRules} from '@buckthornpoint/key-ranges/classify-backend.js';
import type {InheritedState, RangeControllerOpts} from '@buckthornpoint/key-ranges/controller-start.js';
import type {EvacuationOrders, StorePosition} from '@buckthornpoint/key-ranges/messages.js';
import type {RetainedEvacuation} from './contradicted-orders.js';
import type {ControlEvent} from './control-event.js';
import type {LeaveRecord} from './leave-record.js';
import type {ControlIdentity} from './controller-lease-types.js';

/** Dependencies and settings of a `ControlTask`. */
export type ControlTaskOpts = {
	readonly identity: ControlIdentity;
	readonly store: FleetStore;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly times: RangeControllerOpts;
	/** The operator's rules; undefined as long as this node does not know them. */
	readonly getRules: () => OwnershipRules | undefined;
	/** The client accounts of the configuration in force on this node. */
	readonly getAccounts?: () => readonly ClientAccount[];
	/** The highest controller epoch that this node has received. */
	readonly getEpoch: () => number;
	/** Version of the operator's routes on this node, or 0 for none. It is sent to members that have an older version. */
	readonly getRoutesVersion: () => number;
	/** Called with the address of a member that has a later version of the operator's routes than this node. */
	readonly onLaterRoutes: (version: number, address: string) => void;
	/** The current evacuation orders. They are sent to members that have an older version. */
	readonly getEvacuation: () => EvacuationOrders & StorePosition;
	/** Evacuations that are kept although the store lacks them since it returned from an older copy. They are sent to all members. */
	readonly listRetainedEvacuations: () => readonly RetainedEvacuation[];
	/** State that this node received from the previous controller. A new controller starts from it. */
	readonly getInitialState: () => InheritedState;
	/** Requests an immediate heartbeat from the nodes at these addresses. */
	readonly requestHeartbeats: (addresses: readonly string[]) => void;
	/** Notifies all known nodes that this node has become the controller. */
	readonly announceTakeover: (epoch: number) => void;
	/** Called with the leave records that each lookup of the controller in the store finds; undefined if the lookup failed. */
	readonly onLeaves: (leaves: readonly LeaveRecord[] | undefined) => void;
	readonly onEvent: (event: ControlEvent) => void;
};
