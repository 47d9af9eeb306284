import type {GateBackend} from './gate-backend.js';
import {createNotRun, type Outcome, type OwnerRequest} from './outcome.js';

/** What the judgement of a request rests on besides the request and the server. */
export type JudgeRequestOpts = {
	readonly nowMs: number;
	/** Whether the request arrives now; otherwise it has waited and would start now. */
	readonly isArriving: boolean;
	readonly isHeld: (key: number) => boolean;
};

/** When to come back to a key whose owner is about to change, in milliseconds: a grant takes up to one heartbeat. */
const noOwnerRetryMs = 400;

/** When to come back where the server leaves, ends or is of another service, in milliseconds: others are told within this time. */
const leavingRetryMs = 200;

/** Says why a request can't be sent to the server beside; undefined where it can. A request that waited is judged again when it starts. */
export function judgeRequest(request: OwnerRequest, backend: GateBackend | undefined, {nowMs, isArriving, isHeld}: JudgeRequestOpts): Outcome | undefined {
	if (backend === undefined) {
		return createNotRun('no-backend', leavingRetryMs);
	}

	if (backend.service !== request.service) {
		return createNotRun('no-node', leavingRetryMs);
	}

	if (backend.isDivided && request.key !== undefined && !isHeld(request.key)) {
		return createNotRun('not-held', noOwnerRetryMs);
	}

	// Only the owner can run the request of a key; others of the service take the rest.
	const isLeaving = backend.leaving !== undefined && ((isArriving && !backend.isDivided) || nowMs >= backend.leaving.lastSendMs);
	return isLeaving ? createNotRun(backend.leaving.reason, leavingRetryMs) : undefined;
}
