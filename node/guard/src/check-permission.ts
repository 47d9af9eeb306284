import {hasPassed, addMilliseconds, type Timestamp} from '@buckthornpoint/clock/clock.js';
import {checkGrant, type OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import type {Fence} from '@buckthornpoint/types/identity.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {createNotRunFailure, type RequestFailure, type RoutedRequest} from '@buckthornpoint/types/requests.js';
import {err, ok, type Result} from 'neverthrow';

const leavingGraceMs = 1500;
const retryAfterMs = 100;

/** Permission of the node to send a request to the backend server now. */
export type ServingPermission = {
	/** Absent for a request that needs no grant. */
	readonly fence: Fence | undefined;
	readonly leaseEnd: Timestamp;
};

/** State that the permission depends on. */
export type PermissionContext = {
	readonly view: OwnershipView;
	readonly now: Timestamp;
	readonly server: BackendServer | undefined;
	/** Time at which the backend server announced that it is leaving; undefined if it is not leaving. */
	readonly leavingSince: Timestamp | undefined;
	readonly needsGrant: boolean;
	/** Whether the request already passed this check on arrival. It may then run even if the handover of its partition has begun since, or its backend server is leaving. */
	readonly isAccepted: boolean;
};

/** Checks that the request may be sent to the backend server now: the node holds the lease and the grant, and the backend server accepts new requests. */
export function checkPermission(routed: RoutedRequest, context: PermissionContext): Result<ServingPermission, RequestFailure> {
	const {view, now, server} = context;
	if (server?.service !== routed.service) {
		return err(createNotRunFailure(routed.requestId, 'backend-server-unreachable', 'no backend server of the service has announced itself here', retryAfterMs));
	}

	if (!context.isAccepted && isRefusedWhileLeaving(context)) {
		return err(createNotRunFailure(routed.requestId, 'stopping', 'the backend server is leaving', retryAfterMs));
	}

	const grant = checkGrant(view, {service: routed.service, partition: routed.partition}, now);
	if (grant.isOk()) {
		return ok({fence: grant.value.grant.fence, leaseEnd: grant.value.leaseEnd});
	}

	const {reason} = grant.error;
	const isAllowedByLease = reason !== 'lease-ended' && !context.needsGrant;
	const mayFinish = reason === 'releasing' && context.isAccepted;
	if (view.leaseEnd !== undefined && (isAllowedByLease || mayFinish)) {
		return ok({fence: findFence(routed, context), leaseEnd: view.leaseEnd});
	}

	return err(createNotRunFailure(routed.requestId, 'lease-not-held', `the node may not serve the partition: ${reason}`, retryAfterMs));
}

/** Returns the time in which the backend server must answer. It ends with the lease, unless the backend server rejects stale fences itself. */
export function measureTimeBudgetMs(permission: ServingPermission, deadline: Timestamp, opts: {readonly now: Timestamp; readonly checksFence: boolean}): number {
	const remainingMs = deadline.monotonicMs - opts.now.monotonicMs;
	return opts.checksFence ? remainingMs : Math.min(remainingMs, permission.leaseEnd.monotonicMs - opts.now.monotonicMs);
}

/** Returns whether a new request is refused because its backend server is leaving. Requests that need a grant are accepted for a grace period, in which the partitions are handed over; all others are refused at once. */
function isRefusedWhileLeaving(context: PermissionContext): boolean {
	const {leavingSince, needsGrant, now} = context;
	if (leavingSince === undefined) {
		return false;
	}

	return !needsGrant || hasPassed(addMilliseconds(leavingSince, leavingGraceMs), now);
}

function findFence(routed: RoutedRequest, context: PermissionContext): Fence | undefined {
	return context.needsGrant ? context.view.grants.get(`${routed.service}/${routed.partition}`)?.fence : undefined;
}
