import type {Clock} from '@buckthornpoint/clock/clock.js';
import {PeriodicTimer} from '@buckthornpoint/clock/periodic-timer.js';
import type {CallerResponder, PendingRequest} from './caller-responder.js';

/** Interval of the checks for requests that are overdue. */
const checkIntervalMs = 100;

/** Retry-After for a request that had waited for its whole time before it was started. */
export const heldUpRetryAfterMs = 100;

/** How long after its end a request without an answer counts as overdue. The parts that handle it end it earlier. */
const overdueMs = 200;

/** Dependencies of a `RequestGuard`. */
export type RequestGuardOpts = {
	readonly clock: Clock;
	readonly responder: Pick<CallerResponder, 'fail' | 'refuse'>;
	/** Called with a description of an error in the handling of a request, or of a request that is overdue. */
	readonly onProblem: (problem: string) => void;
};

type Guarded = {readonly pending: PendingRequest; readonly endMs: number; isWaiting: boolean; isOverdue: boolean};

/** Sees to it that each request gets a final answer, also if the code that handles it throws or loses track of it. */
export class RequestGuard {
	readonly #opts: RequestGuardOpts;
	readonly #guarded = new Map<PendingRequest['response'], Guarded>();
	readonly #timer: PeriodicTimer;

	constructor(opts: RequestGuardOpts) {
		this.#opts = opts;
		this.#timer = new PeriodicTimer(opts.clock, checkIntervalMs, () => {
			this.#failOverdue();
		});
	}

	/** Guards a request that must be answered by `endMs` on the node's clock. */
	add(pending: PendingRequest, endMs: number): void {
		this.#guarded.set(pending.response, {
			pending, endMs, isWaiting: false, isOverdue: false,
		});
	}

	/** Records whether the request is complete and waits for its start. It is refused at its end then. */
	setWaiting(response: PendingRequest['response'], isWaiting: boolean): void {
		const guarded = this.#guarded.get(response);
		if (guarded !== undefined) {
			guarded.isWaiting = isWaiting;
		}
	}

	remove(response: PendingRequest['response']): void {
		this.#guarded.delete(response);
	}

	/**
	 * Runs a step of the handling. If it throws, the request fails; `isRouted` says whether it may have been passed on before. Returns
	 * whether the step has succeeded.
	 */
	run(pending: PendingRequest, isRouted: boolean, step: () => void): boolean {
		try {
			step();
			return true;
		} catch (error) {
			this.#opts.onProblem(`the handling of the request ${pending.headers.requestId ?? ''} failed, and it is ended: ${formatError(error)}`);
			this.#fail(pending, isRouted ? 'unknown' : 'not-run');
			return false;
		}
	}

	close(): void {
		this.#timer.close();
	}

	#fail(pending: PendingRequest, kind: 'not-run' | 'unknown' | 'overdue'): void {
		try {
			this.#opts.responder.fail(pending, kind);
		} catch (error) {
			this.#opts.onProblem(`the answer of a failed request could not be written, and its connection is closed: ${formatError(error)}`);
			pending.incoming.socket.destroy();
		}
	}

	#failOverdue(): void {
		const nowMs = this.#opts.clock.readTimestamp().monotonicMs;
		for (const [response, guarded] of this.#guarded) {
			const {pending, endMs, isWaiting, isOverdue} = guarded;
			if (isWaiting && nowMs >= endMs) {
				this.#guarded.delete(response);
				this.#opts.responder.refuse(pending, 'held-up', heldUpRetryAfterMs);
				continue;
			}

			// After a stall of the process, its answer may be waiting to be read, and is by the next check.
			guarded.isOverdue = nowMs - endMs >= overdueMs;
			if (isOverdue) {
				this.#guarded.delete(response);
				if (!response.headersSent) {
					this.#opts.onProblem(`the request ${pending.headers.requestId ?? ''} has no answer ${Math.round(nowMs - endMs)} ms after its time, and it is ended`);
					this.#fail(pending, 'overdue');
				}
			}
		}
	}
}

function formatError(error: unknown): string {
	return error instanceof Error ? error.stack ?? error.message : String(error);
}
