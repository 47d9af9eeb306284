import type {KindWait} from '@buckthornpoint/admission/slot-request.js';
import type {Body} from '@buckthornpoint/frames/body-blocks.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';

/** What a backend server instance advertises in its answers, as far as it binds the nodes that pass them on. */
export type AdvertisedState = {
	readonly key: BackendInstanceKey;
	/** Requests per second that it accepts from all nodes together; undefined without a limit. */
	readonly limitPerS?: number;
	/** Time since it stated that it is leaving; undefined if it did not. */
	readonly leavingForMs?: number;
};

/** A request in the form in which it is sent to the node whose local backend server will run it. */
export type OwnerRequest = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	/** The caller's headers to forward to the backend server: name, value, name, value. */
	readonly headers: readonly string[];
	readonly body: Body;
	/** The key, for a service that is partitioned by key. */
	readonly key: number | undefined;
	readonly service: string;
	/** Name of the matched route. Requests of one route take about the same time. */
	readonly route: string;
	/** The service that sent the request. */
	readonly callerService: string;
	/** Waiting requests of priority 0 are started first. */
	readonly priority: number;
	readonly isIdempotent: boolean;
	/** Whether it may wait for a slot; otherwise it is refused if no slot is free. */
	readonly mayWait: boolean;
	/** Time until the caller stops waiting. */
	readonly remainingMs: number;
	/** Time until the target for the answer, counted from the caller's first attempt; may be negative. */
	readonly targetMs: number;
	/** Time until the latest useful arrival of an answer that misses the target; a waiting request that can't meet it is refused. */
	readonly lateMs: number;
	/** Time since the caller's first attempt; undefined if unknown. Estimated from its deadline, so it may be some milliseconds off. */
	readonly ageMs?: number;
	/** What the sending node knows that the server advertises. */
	readonly advertised?: AdvertisedState;
};

/** Why a request was not run, or not answered. */
export type OutcomeReason
	= | 'no-configuration' | 'no-owner' | 'no-node' | 'not-held' | 'no-backend' | 'leaving' | 'evacuated' | 'silent' | 'overloaded' | 'no-memory' | 'displaced' | 'cold' | 'limited'
		| 'expired' | 'closed' | 'refused-by-backend'
		| 'connection-refused' | 'connection-lost' | 'garbled' | 'timeout' | 'cancelled' | 'held-up' | 'peer-lost' | 'peer-unreachable' | 'lost-on-way' | 'stopping' | 'internal-error';

/** The result of a request at the node of the backend server. */
export type Outcome
	/** The backend server's answer. One without a length (`isFramed` is false) is passed on without one, since it may be truncated. */
	= | {readonly kind: 'answer'; readonly status: number; readonly headers: readonly string[]; readonly body: Body; readonly isFramed: boolean}
		/** Proved that no backend server started the request. `wasOffered` is true if one received and refused it; `promisedBy` is the server that sets capacity aside for the retry. */
		| {readonly kind: 'not-run'; readonly reason: OutcomeReason; readonly retryAfterMs: number; readonly wasOffered: boolean; readonly promisedBy?: BackendInstanceKey}
		/** A backend server may have run the request. */
		| {readonly kind: 'unknown'; readonly reason: OutcomeReason};

/** Load of a node's local backend server, reported with each answer. */
export type OwnerLoad = {
	/** Number of running and waiting requests. */
	readonly outstanding: number;
	readonly slots: number;
	/** Mean execution time. */
	readonly serviceMs: number;
	/** Present execution time as a multiple of the mean. Valid for a fraction of a second. */
	readonly slowness: number;
	/** Share of recent requests that the server failed or refused. */
	readonly failureShare: number;
	/** What first attempts have to expect; undefined if the capacity of the service is not shared. */
	readonly waits?: readonly KindWait[];
	/** What the server advertises; undefined if that is nothing and the sending node knows of nothing. */
	readonly advertised?: AdvertisedState;
};

/** Creates the outcome of a request that was not run. */
export function createNotRun(reason: OutcomeReason, retryAfterMs: number, wasOffered = false): Extract<Outcome, {readonly kind: 'not-run'}> {
	return {
		kind: 'not-run', reason, retryAfterMs, wasOffered,
	};
}
