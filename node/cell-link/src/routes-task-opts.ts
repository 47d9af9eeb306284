import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {FleetStore} from '@buckthornpoint/fleet/fleet-store.js';
import type {OperatorChange} from './routes-task.js';

/** Dependencies of a `RoutesTask`. */
export type RoutesTaskOpts = {
	readonly store: FleetStore;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Whether a controller that reaches the store replies to this node: it then forwards changes that the watch misses. */
	readonly isFollowing: () => boolean;
	/** Waits until this node has got later routes from other nodes, if they have any. After a return of the store it may show routes that are older. */
	readonly waitForLaterRoutes: () => Promise<void>;
	/** Lists the failure domains that count as evacuated on this node. */
	readonly listEvacuated: () => readonly string[];
	readonly onChange: (change: OperatorChange) => void;
	/** Called with a description of an error that is none of the store's. The task reads all rows again. */
	readonly onProblem: (problem: string) => void;
};
