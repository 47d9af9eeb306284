import type {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import {createNotRun, type Outcome, type OwnerRequest} from '@buckthornpoint/backend-link/outcome.js';
import {decodeOwnerRequest, encodeOutcome} from '@buckthornpoint/ingress/owner-messages.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {Reply} from '@buckthornpoint/peers/peer-server.js';

/** What the handling of requests of other nodes works with. */
export type PeerRequestOpts = {
	readonly gate: BackendGate;
	readonly log: Log;
	/** Whether the node is about to end and takes nothing more. */
	readonly isLeaving: () => boolean;
};

/** When to come back to a node that ends, in milliseconds: it is back, or its ranges have moved, within about this time. */
const leavingRetryMs = 600;

/** Runs a request of another node at the backend server beside. Returns how it is given up. */
export function handlePeerRequest({meta, body, reply}: {readonly meta: unknown; readonly body: Uint8Array; readonly reply: Reply}, opts: PeerRequestOpts): () => void {
	const {gate, log} = opts;
	const request = decodeOwnerRequest(meta, body);
	const finish = (outcome: Outcome): void => {
		const load = gate.readLoad();
		logOutcome(log, request, {outcome, load});
		const encoded = encodeOutcome(outcome, load);
		reply(encoded.meta, encoded.body);
	};

	if (opts.isLeaving()) {
		finish(createNotRun('stopping', leavingRetryMs));
		return () => undefined;
	}

	const ticket = gate.admit(request, finish);
	return () => {
		ticket.cancel();
	};
}

function logOutcome(log: Log, {requestId, service, key}: OwnerRequest, {outcome, load}: {readonly outcome: Outcome; readonly load: ReturnType<BackendGate['readLoad']>}): void {
	if (outcome.kind === 'not-run') {
		const {outstanding, slots, serviceMs} = load;
		log.write({
			event: 'owner-refused', requestId, service, key, reason: outcome.reason, outstanding, slots, serviceMs,
		});
	} else if (outcome.kind === 'unknown') {
		log.write({
			event: 'owner-lost', requestId, service, key, reason: outcome.reason,
		});
	}
}
