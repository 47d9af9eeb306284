import type {SlotRefusal, SlotRequest} from '@buckthornpoint/admission/slot-request.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import {createNotRun, type Outcome, type OwnerRequest} from './outcome.js';

/** Converts a request to the form in which it asks for a slot, with its times on the node's clock. */
export function convertOwnerRequest({priority, mayWait, route, remainingMs, targetMs, lateMs, ageMs}: OwnerRequest, nowMs: number): Omit<SlotRequest, 'start' | 'refuse'> {
	return {
		priority, mayWait, kind: route, endMs: nowMs + remainingMs, targetEndMs: nowMs + targetMs, lateEndMs: nowMs + lateMs,
		firstMs: ageMs === undefined ? undefined : nowMs - ageMs,
	};
}

/** Converts the refusal of a server's queue to the outcome of its request. */
export function convertRefusal({reason, retryAfterMs, isPromised}: SlotRefusal, server: BackendInstanceKey | undefined): Outcome {
	return {...createNotRun(reason, retryAfterMs), ...(isPromised === true && server !== undefined && {promisedBy: server})};
}
