import {HttpHealthCheck} from '@buckthornpoint/backend-link/health-check.js';
import {ProbedReadiness, type ReadinessEvidence, type ReadinessProof} from '@buckthornpoint/backend-link/readiness-evidence.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {FleetView} from '@buckthornpoint/ingress/fleet-view.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {MeshSettings} from './settings.js';

const msPerSecond = 1000;

/** Dependencies of `createEvidence`. */
export type EvidenceOpts = {readonly clock: Clock; readonly log: Log; readonly view: FleetView; readonly onProved: (proof: ReadinessProof) => void};

/** Creates the health checks that show whether the local backend server is ready. */
export function createEvidence({backendServer, heartbeatSeconds}: MeshSettings, {clock, log, view, onProved}: EvidenceOpts): ReadinessEvidence {
	return new ProbedReadiness({
		clock,
		healthCheck: new HttpHealthCheck(backendServer),
		getHealthPath: service => view.routeTable?.services.get(service)?.healthPath,
		heartbeatMs: heartbeatSeconds * msPerSecond,
		onProved,
		onInconclusive(key, detail) {
			log.write({event: 'backend-not-proved', key, message: `${detail}; nothing is sent to the server before it is shown to be ready`});
		},
	});
}
