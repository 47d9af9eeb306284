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

/** What the caller of a request received. */
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

/** A violated guarantee. */
export type Violation = {
	readonly rule: 'twice' | 'refused-but-run' | 'wrong-answer' | 'changed-request' | 'lost' | 'late' | 'owner' | 'fence' | 'process-end' | 'not-served';
	readonly atMs: number;
	readonly message: string;
	readonly requestId?: string;
	/** The violation is excused, as processes had to wait for a processor. */
	readonly isSlow?: boolean;
};
