/**
 * A timestamp with the readings of both clocks of a machine. The monotonic clock may stop while a VM is suspended, and the
 * wall clock may be set; a duration is measured as the larger advance of the two.
 */
export type Timestamp = {
	/** Monotonic time since an arbitrary origin in this process. Never decreases. */
	readonly monotonicMs: number;
	/** Wall-clock time since the Unix epoch. */
	readonly wallMs: number;
};

/** Time source, injected into all code that reads the time or waits. */
export abstract class Clock {
	/** Resolves after the delay, or immediately when the signal aborts. */
	async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			if (signal?.aborted) {
				resolve();
				return;
			}

			const onAbort = (): void => {
				timer.close();
				resolve();
			};

			const timer = this.startTimer(delayMs, () => {
				signal?.removeEventListener('abort', onAbort);
				resolve();
			});
			signal?.addEventListener('abort', onAbort, {once: true});
		});
	}

	/** Returns the current timestamp. */
	abstract readTimestamp(): Timestamp;

	/** Calls `callback` once after the delay, unless the returned timer is closed before then. */
	abstract startTimer(delayMs: number, callback: () => void): Timer;
}

/** A pending timer. */
export type Timer = {
	/** Cancels the timer. Has no effect if it has already fired. */
	close(): void;
};

/** Returns the milliseconds from one timestamp to a later one: the larger advance of the two clocks. */
export function measureElapsedMs(from: Timestamp, to: Timestamp): number {
	return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}

/** Adds a duration to both readings of a timestamp. */
export function addMilliseconds(timestamp: Timestamp, durationMs: number): Timestamp {
	return {monotonicMs: timestamp.monotonicMs + durationMs, wallMs: timestamp.wallMs + durationMs};
}

/** Returns whether `end` has been reached at `now` on at least one of the clocks. */
export function hasPassed(end: Timestamp, now: Timestamp): boolean {
	return now.monotonicMs >= end.monotonicMs || now.wallMs >= end.wallMs;
}
