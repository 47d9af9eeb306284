import type {RunEnd, StandInRun} from '@buckthornpoint/fleet-stand-in/run-observer.js';
import type {GeneratedRequest} from './workload.js';

/** A request that a caller sent. */
export type SentRequest = GeneratedRequest & {
	/** Number of the node that the caller sent it to. */
	readonly entry: number;
	/** Service on the VM of the caller. */
	readonly callerService: string;
	readonly startMs: number;
};

/** What the caller of a request received: an answer, a connection error (`broken`), or nothing within the time limit (`unanswered`). */
export type EndKind
	= | {readonly kind: 'answer'; readonly status: number; readonly answeredId: string | undefined; readonly isSealed: boolean; readonly body: string}
		| {readonly kind: 'broken'; readonly problem: string}
		| {readonly kind: 'unanswered'};

/** What the caller of a request received, and when. */
export type RequestEnd = EndKind & {
	readonly atMs: number;
	/** When the last byte of the request was sent; undefined if it was not sent completely. */
	readonly sentMs: number | undefined;
};

/** A run of a request by a backend server, and its end if it has ended. */
export type RecordedRun = {
	readonly run: StandInRun;
	/** Number of the node on the VM of the backend server. */
	readonly node: number;
	end?: RunEnd;
};

/** A request with its end and its runs. */
export type RequestRecord = {
	readonly request: SentRequest;
	end?: RequestEnd;
	readonly runs: RecordedRun[];
};

/**
 * A violated guarantee.
 * - `twice`: a non-idempotent request was run more than once.
 * - `refused-but-run`: a non-idempotent request was run although its answer guarantees that it was not.
 * - `wrong-answer`: the answer is incomplete or belongs to another request.
 * - `changed-request`: a backend server received other contents than the caller sent, or a request that no caller sent.
 * - `lost`: the connection of a completely sent request ended without an answer, or the node itself answered 502 or 504.
 * - `late`: the answer came too long after the time limit, or not at all.
 * - `owner`: two backend servers used a key at the same time.
 * - `drain`: a request that was sent too long after a backend server's announcement to leave was acknowledged reached that server.
 * - `fence`: a backend server acquired a key with a fence that is not higher than that of another server.
 * - `process-end`: the process of a node crashed, or did not stop as planned.
 * - `not-served`: the fleet was not available again in time after the faults.
 */
export type Violation = {
	readonly rule: 'twice' | 'refused-but-run' | 'wrong-answer' | 'changed-request' | 'lost' | 'late' | 'owner' | 'drain' | 'fence' | 'process-end' | 'not-served';
	readonly atMs: number;
	readonly message: string;
	readonly requestId?: string;
	/** The violation is excused, as processes had to wait for a processor. */
	readonly isSlow?: boolean;
};
