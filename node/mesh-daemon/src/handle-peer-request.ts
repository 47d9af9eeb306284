import type {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import {createNotRun, type Outcome, type OwnerRequest} from '@buckthornpoint/backend-link/outcome.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {expectedRestartMs} from '@buckthornpoint/ingress/caller-server.js';
import {decodeOwnerRequest, encodeOutcome} from '@buckthornpoint/ingress/owner-messages.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {ReceivedRequest, Reply} from '@buckthornpoint/peers/peer-server.js';

/** Dependencies of `handlePeerRequest`. */
export type PeerRequestOpts = {
	readonly gate: Pick<BackendGate, 'admit' | 'readLoad'>;
	readonly log: Log;
	readonly clock: Clock;
	/** Returns the time by which requests must end, on the monotonic clock. */
	readonly getRequestEndMs: () => number;
};

/**
 * A request that was delayed for longer than this in transit is refused: the caller may have cancelled it, and the
 * cancellation may be delayed behind it. Half of the time within which cancelled requests must stop reaching a server.
 */
const maxTransitDelayMs = 250;

/** Retry-After for a request that was refused because of its delay in transit. */
const heldUpRetryDelayMs = 100;

/** Retry-After for a body that does not fit into the memory: other large bodies need some time to be passed on. */
const noMemoryRetryAfterMs = 1000;

/** Runs a request of another node on the local backend server. Returns a function that cancels it. */
export function handlePeerRequest({
	meta, body, delayMs, transferMs = 0,
}: ReceivedRequest, reply: Reply, opts: PeerRequestOpts): () => void {
	const {gate, log} = opts;
	const decoded = decodeOwnerRequest(meta, body);
	const passedMs = delayMs + transferMs;
	const request: OwnerRequest = {
		...decoded, remainingMs: decoded.remainingMs - passedMs, targetMs: decoded.targetMs - passedMs, lateMs: decoded.lateMs - passedMs,
		ageMs: decoded.ageMs === undefined ? undefined : decoded.ageMs + passedMs,
	};
	const finish = (outcome: Outcome): void => {
		const load = gate.readLoad(request.advertised !== undefined);
		logOutcome(log, request, {outcome, load});
		const encoded = encodeOutcome(outcome, load);
		reply(encoded.meta, encoded.body);
	};

	const timeToEndMs = opts.getRequestEndMs() - opts.clock.readTimestamp().monotonicMs;
	if (request.remainingMs > timeToEndMs) {
		finish(createNotRun('stopping', Math.max(0, timeToEndMs) + expectedRestartMs));
		return () => undefined;
	}

	if (delayMs > maxTransitDelayMs) {
		finish(createNotRun('held-up', heldUpRetryDelayMs));
		return () => undefined;
	}

	const handle = gate.admit(request, finish);
	return () => {
		handle.cancel();
	};
}

/** Refuses a request of another node whose body does not fit into the memory. */
export function refusePeerRequest(meta: unknown, reply: Reply, {gate, log}: Pick<PeerRequestOpts, 'gate' | 'log'>): void {
	const request = decodeOwnerRequest(meta, new Uint8Array());
	const outcome = createNotRun('overloaded', noMemoryRetryAfterMs);
	const load = gate.readLoad(request.advertised !== undefined);
	logOutcome(log, request, {outcome, load});
	reply(encodeOutcome(outcome, load).meta);
}

function logOutcome(log: Log, {requestId, service, key, priority}: OwnerRequest, {outcome, load}: {readonly outcome: Outcome; readonly load: ReturnType<BackendGate['readLoad']>}): void {
	if (outcome.kind === 'not-run') {
		const {outstanding, slots, serviceMs} = load;
		log.write({
			event: 'owner-refused', requestId, service, key, priority, reason: outcome.reason, outstanding, slots, serviceMs,
			retryAfterMs: Math.round(outcome.retryAfterMs), isPromised: outcome.promisedBy !== undefined,
		});
	} else if (outcome.kind === 'unknown') {
		log.write({
			event: 'owner-lost', requestId, service, key, reason: outcome.reason,
		});
	}
}
