import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import {probeIntervalMs} from './link-times.js';

/** Callbacks for an unreachable node. */
export type ReachabilityOpts = {
	readonly clock: Clock;
	/** Called when the other node becomes unreachable. */
	readonly onUnreachable: (reason: string) => void;
	/** Tries to reach the other node, unless it is no longer needed. */
	readonly reconnect: () => void;
};

/** Tracks whether another node is reachable. An unreachable one is probed periodically, so that no call has to wait for it. */
export class Reachability {
	readonly #opts: ReachabilityOpts;
	#isReachable = true;
	#timer: Timer | undefined;

	constructor(opts: ReachabilityOpts) {
		this.#opts = opts;
	}

	get isReachable(): boolean {
		return this.#isReachable;
	}

	recordReachable(): void {
		this.#isReachable = true;
	}

	recordUnreachable(reason: string): void {
		if (this.#isReachable) {
			this.#opts.onUnreachable(reason);
		}

		this.#isReachable = false;
		this.scheduleProbe();
	}

	/** Schedules an attempt to reach the other node, unless one is scheduled. */
	scheduleProbe(): void {
		this.#timer ??= this.#opts.clock.startTimer(probeIntervalMs, () => {
			this.#timer = undefined;
			this.#opts.reconnect();
		});
	}

	close(): void {
		this.#timer?.close();
	}
}
