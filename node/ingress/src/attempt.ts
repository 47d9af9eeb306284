import type {CancelHandle} from '@buckthornpoint/backend-link/backend-gate.js';
import type {Outcome} from '@buckthornpoint/backend-link/outcome.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';

/** One offer of a request to a node. */
export type Attempt = {
	readonly entry: DirectoryEntry;
	/** Whether it may wait for a slot at the server. */
	readonly mayWait: boolean;
	readonly isSecond: boolean;
	readonly startMs: number;
	handle: CancelHandle | undefined;
};

/** Formats an attempt without an answer for the log. */
export function formatAttempt({entry, isSecond}: Pick<Attempt, 'entry' | 'isSecond'>, reason: string): string {
	return `${entry.vmId}: ${reason}${isSecond ? ': second try' : ''}`;
}

/** Whether a server or its node refused a request for lack of capacity. */
export function isCapacityRefusal(outcome: Outcome): boolean {
	return outcome.kind === 'not-run' && !outcome.wasOffered && (outcome.reason === 'overloaded' || outcome.reason === 'cold' || outcome.reason === 'limited');
}
