import type {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import type {MemberTask, ControlCall, NodeNotice} from '@buckthornpoint/cell-link/member-task.js';
import type {RoutesCall, RoutesSource} from '@buckthornpoint/cell-link/routes-fetch.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {FleetView} from '@buckthornpoint/ingress/fleet-view.js';
import type {Log} from '@buckthornpoint/log/log.js';
import {PeerServer} from '@buckthornpoint/peers/peer-server.js';
import {handlePeerRequest, refusePeerRequest} from './handle-peer-request.js';

/** Dependencies of the server for other nodes. */
export type PeerServerParts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly gate: BackendGate;
	readonly memory: BodyMemory;
	readonly routes: RoutesSource;
	readonly view: Pick<FleetView, 'getRoutes'>;
	readonly getMember: () => Pick<MemberTask, 'handleCall' | 'handleNotice'>;
	/** Returns the time by which requests must end, on the monotonic clock. */
	readonly getRequestEndMs: () => number;
};

/** Creates the server that answers the requests and calls of other nodes. */
export function createPeerServer({
	clock, log, gate, memory, routes, view, getMember, getRequestEndMs,
}: PeerServerParts): PeerServer {
	return new PeerServer(clock, {
		onRequest: (received, reply) => handlePeerRequest(received, reply, {
			clock, log, gate, getRequestEndMs,
		}),
		onCall(meta, reply) {
			const call = meta as ControlCall | RoutesCall; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			reply('heartbeat' in call ? getMember().handleCall(call) : routes.createAnswer(call, view.getRoutes()));
		},
		onNotice(meta) {
			getMember().handleNotice(meta as NodeNotice); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		},
		onProblem(message) {
			log.write({event: 'peer-failed', vmId: '', message});
		},
	}, {
		memory,
		onOverload(meta, reply) {
			refusePeerRequest(meta, reply, {gate, log});
		},
	});
}
