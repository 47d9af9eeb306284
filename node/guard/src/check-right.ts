import {hasPassed, addMilliseconds, type Moment} from '@buckthornpoint/clock/clock.js';
import {checkGrant, type OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import type {Fence} from '@buckthornpoint/types/identity.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {createNotRun, type RequestFailure, type RoutedRequest} from '@buckthornpoint/types/requests.js';
import {err, ok, type Result} from 'neverthrow';

const leavingGraceMs = 1500;
const retryAfterMs = 100;

/** The node's right to hand a request over now. */
export type Right = {
	/** Absent where the request needs no grant. */
	readonly fence: Fence | undefined;
	readonly leaseEnd: Moment;
};

/** What the right depends on. */
export type RightContext = {
	readonly view: OwnershipView;
	readonly now: Moment;
	readonly server: BackendServer | undefined;
	/** When the backend server began to leave. */
	readonly leavingSince: Moment | undefined;
	readonly needsGrant: boolean;
	/** Whether the request was accepted before its partition began to be handed over, or its backend server to leave. */
	readonly isAccepted: boolean;
};

/** Checks that the request may be handed over now: lease, grant, and a backend server that takes new work. */
export function checkRight(routed: RoutedRequest, context: RightContext): Result<Right, RequestFailure> {
	const {view, now, server} = context;
	if (server?.service !== routed.service) {
		return err(createNotRun(routed.requestId, 'backend-server-unreachable', 'no backend server of the service has announced itself here', retryAfterMs));
	}

	if (!context.isAccepted && isLeaving(context)) {
		return err(createNotRun(routed.requestId, 'stopping', 'the backend server is leaving', retryAfterMs));
	}

	const grant = checkGrant(view, {service: routed.service, partition: routed.partition}, now);
	if (grant.isOk()) {
		return ok({fence: grant.value.grant.fence, leaseEnd: grant.value.leaseEnd});
	}

	const {reason} = grant.error;
	const isBound = reason !== 'lease-ended' && !context.needsGrant;
	const isFinishing = reason === 'releasing' && context.isAccepted;
	if (view.leaseEnd !== undefined && (isBound || isFinishing)) {
		return ok({fence: findFence(routed, context), leaseEnd: view.leaseEnd});
	}

	return err(createNotRun(routed.requestId, 'lease-not-held', `the node may not serve the partition: ${reason}`, retryAfterMs));
}

/** The time that a backend server is given: never past the lease's end, unless it refuses stale fences itself. */
export function measureDeadline(right: Right, deadline: Moment, opts: {readonly now: Moment; readonly checksFence: boolean}): number {
	const remainingMs = deadline.monotonicMs - opts.now.monotonicMs;
	return opts.checksFence ? remainingMs : Math.min(remainingMs, right.leaseEnd.monotonicMs - opts.now.monotonicMs);
}

/** The owner of keys goes on for a grace, in which its partitions are handed over; others stop at once. */
function isLeaving(context: RightContext): boolean {
	const {leavingSince, needsGrant, now} = context;
	if (leavingSince === undefined) {
		return false;
	}

	return !needsGrant || hasPassed(addMilliseconds(leavingSince, leavingGraceMs), now);
}

function findFence(routed: RoutedRequest, context: RightContext): Fence | undefined {
	return context.needsGrant ? context.view.grants.get(`${routed.service}/${routed.partition}`)?.fence : undefined;
}
