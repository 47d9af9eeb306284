import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {ReadinessEvidence, ReadinessProof} from '@buckthornpoint/backend-link/readiness-evidence.js';
import type {LeaseClock} from '@buckthornpoint/clock/lease-clock.js';
import type {FleetView} from '@buckthornpoint/ingress/fleet-view.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {MeshSettings} from './settings.js';
import type {MeshTimeouts} from './timeouts.js';

/** Dependencies and settings of a `BackendWatch`. */
export type BackendWatchOpts = {
	readonly settings: MeshSettings;
	readonly timeouts: MeshTimeouts;
	readonly clock: Clock;
	readonly leaseClock: LeaseClock;
	readonly view: FleetView;
	readonly log: Log;
	/** Creates what shows that the server is ready. `onProved` is called for each instance once it is. */
	readonly createEvidence: (onProved: (proof: ReadinessProof) => void) => ReadinessEvidence;
	/** Called after a change that must be reported to the controller immediately. */
	readonly onChange: () => void;
};
