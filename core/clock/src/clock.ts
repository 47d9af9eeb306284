/**
 * A moment as both clocks of a machine tell it. The monotonic clock may stand still while a VM is paused,
 * and the wall clock may be set; whoever measures how long something took uses the larger advance of the two.
 */
export type Moment = {
	/** Milliseconds since an arbitrary start of this process. Never decreases. */
	readonly monotonicMs: number;
	/** Milliseconds since the Unix epoch. */
	readonly wallMs: number;
};

/** The source of time that is passed to everything that reads the time or waits. */
export abstract class Clock {
	/** Resolves after the delay, or at once when the signal aborts. */
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

	/** Returns the present moment. */
	abstract readMoment(): Moment;

	/** Calls back once after the delay. The returned timer can be cancelled. */
	abstract startTimer(delayMs: number, callback: () => void): Timer;
}

/** A timer that has not fired yet. */
export type Timer = {
	/** Cancels the timer. Has no effect on a timer that fired. */
	close(): void;
};

/** Returns how long it took from one moment to a later one, in milliseconds: the larger advance of the two clocks. */
export function measureElapsed(from: Moment, to: Moment): number {
	return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}

/** Returns the moment that lies the given time after another one. */
export function addMilliseconds(moment: Moment, durationMs: number): Moment {
	return {monotonicMs: moment.monotonicMs + durationMs, wallMs: moment.wallMs + durationMs};
}

/** Tells whether `end` has passed at `now`, by whichever clock says so first. */
export function hasPassed(end: Moment, now: Moment): boolean {
	return now.monotonicMs >= end.monotonicMs || now.wallMs >= end.wallMs;
}
