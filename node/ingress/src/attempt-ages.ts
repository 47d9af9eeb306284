/** Length of one observation window. The longest deadline of a route is remembered for one to two windows. */
const deadlineWindowMs = 30_000;

/** Ages below this share of the caller's initial time are noise: its clock and the network account for some milliseconds. */
const minAgeShare = 0.03;

/** Whether an attempt with this age and this time left is later than a first attempt, apart from noise. */
export function isRetryAge(ageMs: number, remainingMs: number): boolean {
	return ageMs > 0 && ageMs >= (ageMs + remainingMs) * minAgeShare;
}

type DeadlineWindow = {endMs: number; longestMs: number; previousLongestMs: number};

/**
 * Estimates how long ago a caller sent its first attempt. A caller that retries after a refusal has less time left than
 * on its first attempt, and all first attempts of a route start with about the same time. Attempts can't be matched by id,
 * since each has its own. The estimate only orders waiting requests; no request is refused because of it.
 */
export class AttemptAges {
	/** The longest remaining time seen on each route, by route name. */
	readonly #windowByRoute = new Map<string, DeadlineWindow>();

	/** Records an attempt with its remaining time and returns how long ago its caller sent the first attempt; 0 if that is within the noise. */
	measureAge(route: string, remainingMs: number | undefined, nowMs: number): number {
		return this.measureAges(route, remainingMs, nowMs).ageMs;
	}

	/** Like `measureAge`, and adds the age with its noise: the time of the first attempt that follows from it differs little between the attempts of one caller. Undefined without a remaining time. */
	measureAges(route: string, remainingMs: number | undefined, nowMs: number): {readonly ageMs: number; readonly exactAgeMs: number | undefined} {
		if (remainingMs === undefined) {
			return {ageMs: 0, exactAgeMs: undefined};
		}

		const window = this.#getWindow(route, nowMs);
		window.longestMs = Math.max(window.longestMs, remainingMs);
		const initialMs = Math.max(window.longestMs, window.previousLongestMs);
		const exactAgeMs = initialMs - remainingMs;
		return {ageMs: isRetryAge(exactAgeMs, remainingMs) ? exactAgeMs : 0, exactAgeMs};
	}

	#getWindow(route: string, nowMs: number): DeadlineWindow {
		const known = this.#windowByRoute.get(route);
		if (known === undefined) {
			const created: DeadlineWindow = {endMs: nowMs + deadlineWindowMs, longestMs: 0, previousLongestMs: 0};
			this.#windowByRoute.set(route, created);
			return created;
		}

		if (nowMs >= known.endMs) {
			known.previousLongestMs = known.longestMs;
			known.longestMs = 0;
			known.endMs = nowMs + deadlineWindowMs;
		}

		return known;
	}
}
