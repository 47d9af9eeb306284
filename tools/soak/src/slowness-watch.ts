import {readFileSync} from 'node:fs';
import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {Disruptions, DisruptionTarget} from './disruptions.js';

/** Options of the watch. */
export type SlownessWatchOpts = {
	readonly clock: Clock;
	/** Where the times of slow processes are recorded. */
	readonly slowness: Disruptions;
	/** Lists the current process ids of the nodes, by the number of the node. */
	readonly listProcessIds: () => ReadonlyArray<number | undefined>;
	readonly onSlow: (target: DisruptionTarget, waitedMs: number) => void;
};

type Sample = {readonly processId: number; readonly atMs: number; readonly waitedMs: number};

const checkIntervalMs = 50;

/** A process that waited longer than this for a processor within the window is slow: nodes consider each other failed after a somewhat longer silence. */
const maxWaitMs = 250;

const windowMs = 1000;

const nanosecondsPerMs = 1_000_000;

/** Detects when the process of the soak test or a node had to wait too long for a processor. */
export class SlownessWatch {
	readonly #opts: SlownessWatchOpts;
	readonly #samples = new Map<number, readonly Sample[]>();
	#timer: Timer | undefined;

	constructor(opts: SlownessWatchOpts) {
		this.#opts = opts;
	}

	start(): void {
		const startMs = this.#readNowMs();
		this.#timer = this.#opts.clock.startTimer(checkIntervalMs, () => {
			const delayMs = this.#readNowMs() - startMs - checkIntervalMs;
			if (delayMs > maxWaitMs) {
				this.#recordSlowness('driver', startMs, delayMs);
			}

			for (const [node, processId] of this.#opts.listProcessIds().entries()) {
				this.#checkNode(node, processId);
			}

			this.start();
		});
	}

	close(): void {
		this.#timer?.close();
	}

	#checkNode(node: number, processId: number | undefined): void {
		const waitedMs = processId === undefined ? undefined : readWaitedMs(processId);
		if (processId === undefined || waitedMs === undefined) {
			return;
		}

		const nowMs = this.#readNowMs();
		const window = (this.#samples.get(node) ?? []).filter(sample => sample.processId === processId && sample.atMs > nowMs - windowMs);
		const waitedInWindowMs = waitedMs - (window[0]?.waitedMs ?? waitedMs);
		if (waitedInWindowMs > maxWaitMs) {
			this.#recordSlowness(node, nowMs - Math.max(windowMs, waitedInWindowMs), waitedInWindowMs);
			this.#samples.delete(node);
		} else {
			this.#samples.set(node, [...window, {processId, atMs: nowMs, waitedMs}]);
		}
	}

	#recordSlowness(target: DisruptionTarget, fromMs: number, waitedMs: number): void {
		this.#opts.slowness.open(target, fromMs).close(this.#readNowMs());
		this.#opts.onSlow(target, waitedMs);
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}

/** Reads how long the main thread of a process was runnable but had no processor; undefined if the system doesn't report it or the process has ended. */
function readWaitedMs(processId: number): number | undefined {
	try {
		const waited = readFileSync(`/proc/${processId}/schedstat`, 'utf8').split(' ')[1];
		return Number(waited) / nanosecondsPerMs;
	} catch {
		return undefined;
	}
}
