import type {AccountLimits} from '@buckthornpoint/accounts/account-limits.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {FinishedRequest} from './finished-request.js';
import type {FleetView} from './fleet-view.js';
import type {RequestRouter} from './request-router.js';

/** Dependencies of a caller server. */
export type CallerServerOpts = {
	readonly view: FleetView;
	readonly router: Pick<RequestRouter, 'route'>;
	readonly clock: Clock;
	/** Returns the service of this VM, which sends all requests that this server receives. */
	readonly getCallerService: () => string;
	readonly onFinished: (finished: FinishedRequest) => void;
	/** Called when a connection could not be accepted. */
	readonly onAcceptError?: (error: Error) => void;
	/** Called with a description of an error that ended a request or a connection. */
	readonly onProblem?: (problem: string) => void;
	/** The memory for bodies; without a limit by default. */
	readonly memory?: BodyMemory;
	/** Limit for the connections of callers; none by default. */
	readonly maxConnections?: number;
	/** Rate limits of client accounts; none by default. */
	readonly accountLimits?: AccountLimits;
};
