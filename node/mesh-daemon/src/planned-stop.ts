import type {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {expectedRestartMs, type CallerServer} from '@buckthornpoint/ingress/caller-server.js';
import type {PeerServer} from '@buckthornpoint/peers/peer-server.js';

/** Dependencies of `runPlannedStop`. */
export type PlannedStopOpts = {
	readonly clock: Clock;
	readonly callers: Pick<CallerServer, 'startStop' | 'countOpen' | 'stopListening'>;
	readonly gate: Pick<BackendGate, 'stop' | 'countRunning'>;
	/** Time until the process is killed. */
	readonly graceMs: number;
	readonly peers: Pick<PeerServer, 'announceLeaving' | 'closeConnections'>;
	/** Releases the controller lease. This takes long if the store does not respond. */
	readonly release: () => Promise<void>;
	/** Refuses requests of other nodes that may last beyond this time on the monotonic clock. */
	readonly refusePeerRequestsBeyond: (endMs: number) => void;
	/** Called with each step, for the log. */
	readonly onStep: (step: PlannedStopStep) => void;
};

/** A step of a planned stop, with the number of requests that were open at that time. */
export type PlannedStopStep = {
	readonly step: 'not-ready' | 'leaving' | 'ending-connections' | 'ended';
	/** Time since the stop began. */
	readonly sinceMs: number;
	/** Requests of callers that have not been answered. */
	readonly open: number;
	/** Requests that are running at the local backend server. */
	readonly running: number;
};

/** How long readiness checks fail before the node begins to leave: enough for two checks. */
const notReadyPeriodMs = 2400;

/** The node ends all remaining requests this long before the end of the grace time. */
const stopMarginMs = 400;

/** Requests of callers end this long before the stop deadline. The time in between is left for running requests of other nodes. */
const peerRequestReserveMs = 300;

/** A few network round trips between nodes, so that messages in transit arrive. */
const transitDelayMs = 60;

/** Interval at which a stopping node checks for open requests. */
const pollIntervalMs = 20;

/** Answers the open requests and closes all connections within the grace time. After two failed readiness checks callers are directed to other nodes. */
export async function runPlannedStop({
	clock, callers, gate, peers, graceMs, release, refusePeerRequestsBeyond, onStep,
}: PlannedStopOpts): Promise<void> {
	const startMs = clock.readTimestamp().monotonicMs;
	const stopDeadlineMs = startMs + graceMs - stopMarginMs;
	const report = (step: PlannedStopStep['step']): void => {
		onStep({
			step, sinceMs: Math.round(clock.readTimestamp().monotonicMs - startMs), open: callers.countOpen(), running: gate.countRunning(),
		});
	};

	const requestDeadlineMs = stopDeadlineMs - peerRequestReserveMs;
	const waitWhile = async (isOpen: () => boolean, endMs: number): Promise<void> => {
		while (isOpen() && clock.readTimestamp().monotonicMs < endMs) {
			await clock.sleep(pollIntervalMs);
		}
	};

	report('not-ready');
	callers.startStop(requestDeadlineMs);
	refusePeerRequestsBeyond(requestDeadlineMs);
	// Not awaited: a store that does not respond would use up the grace time.
	void release();
	await clock.sleep(Math.min(notReadyPeriodMs, graceMs / 2));
	await waitWhile(() => callers.countOpen() > 0, requestDeadlineMs);
	report('leaving');
	refusePeerRequestsBeyond(Number.NEGATIVE_INFINITY);
	gate.stop(expectedRestartMs);
	peers.announceLeaving();
	// Requests that run at the local backend server make calls of their own through this node.
	await waitWhile(() => gate.countRunning() > 0, stopDeadlineMs);
	callers.stopListening();
	await waitWhile(() => callers.countOpen() > 0, stopDeadlineMs);
	// Requests that were in transit when the other nodes were notified are refused. This leaves time for the refusals to arrive.
	await clock.sleep(transitDelayMs);
	report('ending-connections');
	peers.closeConnections();
	await clock.sleep(transitDelayMs);
	report('ended');
}
