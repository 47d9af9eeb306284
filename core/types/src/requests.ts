import type {RequestClass} from './configuration.js';
import type {
	Fence, Incarnation, PartitionNumber, ServiceName, VmId,
} from './identity.js';

/** One header of a request or a response, with the name in lower case. */
export type Header = readonly [name: string, value: string];

/** A caller's request as it is sent between nodes. */
export type RoutedRequest = {
	readonly requestId: string;
	/** Increases each time the caller or a node sends the request id. */
	readonly attempt: number;
	/** Whether no earlier attempt under the request id can have run. If so, an owner need not query the previous owner. */
	readonly isProvedNew: boolean;
	readonly service: ServiceName;
	readonly key: string;
	readonly partition: PartitionNumber;
	readonly tenant: string;
	readonly idempotent: boolean;
	readonly requestClass: RequestClass;
	/** Remaining time until the caller's deadline. */
	readonly remainingMs: number;
	readonly method: string;
	/** Path including the query. */
	readonly path: string;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
	/** The target node. A node with another incarnation refuses the attempt. */
	readonly target: {readonly vmId: VmId; readonly incarnation: Incarnation};
};

/** The complete response of a backend server. */
export type RequestAnswer = {
	readonly kind: 'answer';
	readonly requestId: string;
	readonly status: number;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
	/** The fence under which the request ran. */
	readonly fence?: Fence;
};

/** Stable identifier of why a request has no response. */
export type FailureReason
	= | 'backend-server-refused'
		| 'backend-server-unreachable'
		| 'body-cut-short'
		| 'body-too-large'
		| 'cancelled'
		| 'deadline-exceeded'
		| 'incarnation-mismatch'
		| 'invalid-request'
		| 'lease-not-held'
		| 'lost-answer'
		| 'no-owner'
		| 'not-authorised'
		| 'overloaded'
		| 'peer-unreachable'
		| 'request-id-reused'
		| 'service-unknown'
		| 'stopping';

/** A failed request. The outcome is `not-run` only if it is proved that no backend server started the request. */
export type RequestFailure = {
	readonly kind: 'failure';
	readonly requestId: string;
	readonly outcome: 'not-run' | 'outcome-unknown';
	readonly reason: FailureReason;
	readonly message: string;
	/** Time after which the caller should retry; absent if a retry does not help. */
	readonly retryAfterMs?: number;
};

/** The result of a request. */
export type RequestResult = RequestAnswer | RequestFailure;

/** Creates a failure that guarantees that the request did not run. */
export function createNotRunFailure(requestId: string, reason: FailureReason, message: string, retryAfterMs?: number): RequestFailure {
	return {
		kind: 'failure', requestId, outcome: 'not-run', reason, message, retryAfterMs,
	};
}

/** Creates a failure after which it is unknown whether the request ran. */
export function createOutcomeUnknownFailure(requestId: string, reason: FailureReason, message: string): RequestFailure {
	return {
		kind: 'failure', requestId, outcome: 'outcome-unknown', reason, message,
	};
}
