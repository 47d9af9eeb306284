import type {RequestClass} from './configuration.js';
import type {
	Fence, Incarnation, PartitionNumber, ServiceName, VmId,
} from './identity.js';

/** One header of a request or an answer, name in lower case. */
export type Header = readonly [name: string, value: string];

/** A caller's request as it travels between nodes. */
export type RoutedRequest = {
	readonly requestId: string;
	/** Grows with each sending of the id, by the caller or by a node. */
	readonly attempt: number;
	/** Whether nothing that was sent before under the id can have run: an owner need not ask the one before it. */
	readonly isProvedNew: boolean;
	readonly service: ServiceName;
	readonly key: string;
	readonly partition: PartitionNumber;
	readonly tenant: string;
	readonly idempotent: boolean;
	readonly requestClass: RequestClass;
	/** Time that is left until the caller's deadline, in milliseconds. */
	readonly remainingMs: number;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
	/** Node that the attempt is meant for. A node with another incarnation refuses it. */
	readonly target: {readonly vmId: VmId; readonly incarnation: Incarnation};
};

/** The whole answer of a backend server. */
export type RequestAnswer = {
	readonly kind: 'answer';
	readonly requestId: string;
	readonly status: number;
	readonly headers: readonly Header[];
	readonly body: Uint8Array;
	/** Under which fence it ran. */
	readonly fence?: Fence;
};

/** Why a request has no answer, as a stable word. */
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

/** A typed failure: `not-run` only where it is proved that no backend server began the request. */
export type RequestFailure = {
	readonly kind: 'failure';
	readonly requestId: string;
	readonly outcome: 'not-run' | 'outcome-unknown';
	readonly reason: FailureReason;
	readonly message: string;
	/** When the caller may usefully ask again, in milliseconds; absent when asking again will not help. */
	readonly retryAfterMs?: number;
};

/** What becomes of a request. */
export type RequestResult = RequestAnswer | RequestFailure;

/** Creates a failure that proves that the request did not run. */
export function createNotRun(requestId: string, reason: FailureReason, message: string, retryAfterMs?: number): RequestFailure {
	return {
		kind: 'failure', requestId, outcome: 'not-run', reason, message, retryAfterMs,
	};
}

/** Creates a failure after which nobody can tell whether the request ran. */
export function createOutcomeUnknown(requestId: string, reason: FailureReason, message: string): RequestFailure {
	return {
		kind: 'failure', requestId, outcome: 'outcome-unknown', reason, message,
	};
}
