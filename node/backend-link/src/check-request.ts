import type {GateBackend} from './gate-backend.js';
import {createNotRun, type Outcome, type OwnerRequest} from './outcome.js';

/** Further inputs to the check of a request. */
export type CheckRequestOpts = {
	readonly nowMs: number;
	/** Whether the request has just arrived; otherwise it has waited for a slot and is about to start. */
	readonly isArriving: boolean;
	readonly isHeld: (key: number) => boolean;
};

/** Retry-After for a key whose owner is changing: a grant takes up to one heartbeat interval. */
const notHeldRetryAfterMs = 400;

/** Retry-After if the server is leaving, has ended or belongs to another service: other nodes are informed within this time. */
const unavailableRetryAfterMs = 200;

/**
 * Returns the refusal of a request that can't be sent to the local backend server; undefined if it can. A waiting request is
 * checked again when it starts.
 */
export function checkRequest(request: OwnerRequest, backend: GateBackend | undefined, {nowMs, isArriving, isHeld}: CheckRequestOpts): Outcome | undefined {
	if (backend === undefined) {
		return createNotRun('no-backend', unavailableRetryAfterMs);
	}

	if (backend.service !== request.service) {
		return createNotRun('no-node', unavailableRetryAfterMs);
	}

	if (backend.isDivided && request.key !== undefined && !isHeld(request.key)) {
		return createNotRun('not-held', notHeldRetryAfterMs);
	}

	// A leaving owner still accepts requests for its keys until `lastSendMs`: no other server can run them. Others are refused on arrival.
	const isLeaving = backend.leaving !== undefined && ((isArriving && !backend.isDivided) || nowMs >= backend.leaving.lastSendMs);
	return isLeaving ? createNotRun(backend.leaving.reason, unavailableRetryAfterMs) : undefined;
}
