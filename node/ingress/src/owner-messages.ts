import type {
	AdvertisedState, Outcome, OwnerLoad, OwnerRequest,
} from '@buckthornpoint/backend-link/outcome.js';
import {releaseBody, type Body} from '@buckthornpoint/frames/body-blocks.js';
import type {RoutedRequest} from './routing.js';

/** A request as sent between nodes, without its body. */
export type RequestMeta = Omit<OwnerRequest, 'body'> & {readonly body?: undefined};

/** An outcome as sent between nodes, without its body, and with the load of the backend server that produced it. */
export type OutcomeMeta = {
	readonly outcome: Outcome extends infer Each ? Each extends {readonly body: Body} ? Omit<Each, 'body'> : Each : never;
	readonly load: OwnerLoad;
};

/** Creates the request for one offer to a node. The fields are listed, since an object rest creates a slow object on every request. */
export function createOwnerRequest(routed: RoutedRequest, mayWait: boolean, nowMs: number): OwnerRequest {
	return {
		requestId: routed.requestId,
		method: routed.method,
		path: routed.path,
		headers: routed.headers,
		body: routed.body,
		key: routed.key,
		service: routed.service,
		route: routed.route,
		callerService: routed.callerService,
		priority: routed.priority,
		isIdempotent: routed.isIdempotent,
		mayWait,
		remainingMs: Math.round(routed.endMs - nowMs),
		targetMs: Math.round(routed.targetEndMs - nowMs),
		lateMs: Math.round(routed.lateEndMs - nowMs),
		ageMs: routed.ageMs,
	};
}

/** Splits a request into the meta value and the body of a frame. Undefined fields are not encoded. */
export function encodeOwnerRequest(request: OwnerRequest, advertised?: AdvertisedState): {readonly meta: RequestMeta; readonly body: Body} {
	return {meta: {...request, body: undefined, advertised}, body: request.body};
}

/** Joins a request from the meta value and the body of a frame. The meta value is not validated: nodes trust each other. */
export function decodeOwnerRequest(meta: unknown, body: Body): OwnerRequest {
	return {...meta as RequestMeta, body}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/** Splits an outcome into the meta value and the body of a frame. */
export function encodeOutcome(outcome: Outcome, load: OwnerLoad): {readonly meta: OutcomeMeta; readonly body: Body | undefined} {
	if (outcome.kind !== 'answer') {
		return {meta: {outcome, load}, body: undefined};
	}

	const {body, ...rest} = outcome;
	return {meta: {outcome: rest, load}, body};
}

/** Joins an outcome from the meta value and the body of a frame. The meta value is not validated: nodes trust each other. */
export function decodeOutcome(meta: unknown, body: Body): {readonly outcome: Outcome; readonly load: OwnerLoad} {
	const {outcome, load} = meta as OutcomeMeta; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return {outcome: outcome.kind === 'answer' ? {...outcome, body} : outcome, load};
}

/** Releases the body of an outcome that nobody waits for. */
export function releaseOutcome(outcome: Outcome): void {
	if (outcome.kind === 'answer') {
		releaseBody(outcome.body);
	}
}
