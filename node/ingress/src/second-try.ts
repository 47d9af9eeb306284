import type {Outcome} from '@buckthornpoint/backend-link/outcome.js';
import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';
import type {SecondTryPolicy} from '@buckthornpoint/retries/second-try-policy.js';
import {isCapacityRefusal, type Attempt} from './attempt.js';

/**
 * What became of a second try. `sent` is followed by `won` (answered first), `cancelled` (the first try was answered, the
 * caller left or the time was over) or `failed`. The others say why a second try that was due was not sent.
 */
export type SecondTryEvent = 'sent' | 'won' | 'cancelled' | 'failed' | 'overloaded' | 'no-server' | 'over-share' | 'over-budget';

/** The part of a request that second tries depend on. */
export type SecondTryRequest = {
	readonly route: string;
	readonly isIdempotent: boolean;
	readonly isDivided: boolean;
	readonly maxAttempts: number;
	readonly endMs: number;
	readonly targetEndMs: number;
};

/** Dependencies of a second try. */
export type SecondTryOpts = {
	readonly policy: SecondTryPolicy;
	readonly clock: Clock;
	readonly isStopping: () => boolean;
	/** Takes one attempt from the retry budget; returns false if it is exhausted. */
	readonly consumeRetry: () => boolean;
	readonly onEvent: (event: SecondTryEvent) => void;
};

/** A first try in flight for which a second try may be sent. */
export type FirstTry = {
	/** Earlier attempts that reached, or may have reached, a backend server. */
	readonly earlierAttempts: number;
	readonly chooseNode: () => DirectoryEntry | undefined;
	readonly send: (entry: DirectoryEntry) => void;
};

type SentTry = Pick<Attempt, 'isSecond' | 'startMs'>;

/** The second try of one request: sends at most one, after the delay and within the limits of the policy. */
export class SecondTry {
	readonly #request: SecondTryRequest;
	readonly #opts: SecondTryOpts;
	#timer: Timer | undefined;
	#isSent = false;

	constructor(request: SecondTryRequest, opts: SecondTryOpts) {
		this.#request = request;
		this.#opts = opts;
	}

	/** Schedules the second try for a first try that was just sent. */
	schedule(firstTry: FirstTry): void {
		const {
			route, isIdempotent, isDivided, maxAttempts, endMs, targetEndMs,
		} = this.#request;
		if (this.#isSent || !isIdempotent || isDivided || firstTry.earlierAttempts + 2 > maxAttempts) {
			return;
		}

		const nowMs = this.#readNowMs();
		const delayMs = this.#opts.policy.deriveDelay(route, {targetMs: targetEndMs - nowMs, remainingMs: endMs - nowMs});
		if (delayMs !== undefined) {
			this.#timer = this.#opts.clock.startTimer(delayMs, () => {
				this.#send(firstTry);
			});
		}
	}

	/** Records the outcome of an attempt. A scheduled second try is cancelled: the first one has ended. */
	recordOutcome({isSecond, startMs}: SentTry, outcome: Outcome): void {
		this.#timer?.close();
		if (isSecond) {
			this.#opts.onEvent(outcome.kind === 'answer' ? 'won' : 'failed');
		} else if (outcome.kind === 'answer') {
			this.#recordLatency(startMs);
		}
	}

	/** Records the end of the request, with the attempts that it cancels, and its outcome unless the caller left. */
	recordFinished(cancelled: readonly SentTry[], outcome: Outcome | undefined): void {
		this.#timer?.close();
		for (const {isSecond, startMs} of cancelled) {
			if (isSecond) {
				this.#opts.onEvent('cancelled');
			} else if (outcome !== undefined) {
				// It has taken longer than the delay, so its time belongs to the longest latencies although its end is not known.
				this.#recordLatency(startMs);
			}
		}

		if (outcome !== undefined && isCapacityRefusal(outcome)) {
			this.#opts.policy.recordRefusal(this.#readNowMs());
		}
	}

	/** Records that the request may wait for a slot, since the servers that it was offered to had none free. */
	recordQueued(): void {
		this.#opts.policy.recordQueued(this.#readNowMs());
	}

	#recordLatency(startMs: number): void {
		this.#opts.policy.recordLatency(this.#request.route, this.#readNowMs() - startMs);
	}

	#send({chooseNode, send}: FirstTry): void {
		const {policy, isStopping, consumeRetry, onEvent} = this.#opts;
		const nowMs = this.#readNowMs();
		if (isStopping()) {
			return;
		}

		if (policy.isOverloaded(nowMs)) {
			onEvent('overloaded');
			return;
		}

		const entry = chooseNode();
		if (entry === undefined) {
			onEvent('no-server');
		} else if (!policy.hasShare(nowMs)) {
			onEvent('over-share');
		} else if (consumeRetry()) {
			this.#isSent = true;
			policy.recordSecondTry(nowMs);
			onEvent('sent');
			send(entry);
		} else {
			onEvent('over-budget');
		}
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
