import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import {checkGrant, type OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import type {Published} from '@buckthornpoint/tasks/published.js';
import {formatFence, formatPartitionId, type PartitionId} from '@buckthornpoint/types/identity.js';
import type {FailureReason, RoutedRequest} from '@buckthornpoint/types/requests.js';

/** What the set of running requests works with. */
export type RunningRequestsOpts = {
	readonly clock: Clock;
	readonly ownership: Published<OwnershipView>;
	/** Called once for each grant that is being handed over, when nothing of it runs or waits any more. */
	readonly onDrained: (partition: PartitionId) => void;
};

/** A request that the guard has accepted and not finished. */
export type RunningRequest = {
	/** Aborted, with a `FailureReason`, when the request has to be given up. */
	readonly signal: AbortSignal;
	/** Gives the request up. */
	cancel(reason: FailureReason): void;
	/** Takes the request out of the set. */
	close(): void;
};

type Entry = {
	readonly partition: PartitionId;
	readonly needsGrant: boolean;
	readonly controller: AbortController;
};

/** The requests that wait for the backend server or run there. Gives up those whose lease, grant or time ends. */
export class RunningRequests {
	readonly #opts: RunningRequestsOpts;
	readonly #entries = new Set<Entry>();
	readonly #counts = new Map<string, number>();
	/** Fences of the grants that were reported as drained, by partition. */
	readonly #drained = new Map<string, string>();
	readonly #unsubscribe: () => void;
	#leaseTimer: Timer | undefined;

	constructor(opts: RunningRequestsOpts) {
		this.#opts = opts;
		this.#unsubscribe = opts.ownership.subscribe(() => {
			this.#refresh();
			this.#reportDrained();
		});
	}

	/** Adds a request. It is given up when its time or the node's right to run it ends. */
	add(routed: RoutedRequest, opts: {readonly needsGrant: boolean}): RunningRequest {
		const partition = {service: routed.service, partition: routed.partition};
		const entry: Entry = {partition, needsGrant: opts.needsGrant, controller: new AbortController()};
		const deadline = this.#opts.clock.startTimer(routed.remainingMs, () => {
			cancelEntry(entry, 'deadline-exceeded');
		});
		this.#entries.add(entry);
		this.#count(partition, 1);
		this.#watchLease();
		return {
			signal: entry.controller.signal,
			cancel(reason) {
				cancelEntry(entry, reason);
			},
			close: () => {
				deadline.close();
				this.#entries.delete(entry);
				this.#count(partition, -1);
				this.#reportDrained();
				if (this.#entries.size === 0) {
					this.#leaseTimer?.close();
					this.#leaseTimer = undefined;
				}
			},
		};
	}

	/** Gives up everything. */
	close(): void {
		this.#unsubscribe();
		this.#leaseTimer?.close();
		for (const entry of this.#entries) {
			cancelEntry(entry, 'stopping');
		}
	}

	#refresh(): void {
		const view = this.#opts.ownership.read();
		const now = this.#opts.clock.readMoment();
		for (const entry of this.#entries) {
			const refusal = checkGrant(view, entry.partition, now).match(() => undefined, ({reason}) => reason);
			const hasLost = refusal === 'lease-ended' || (refusal === 'no-grant' && entry.needsGrant);
			if (hasLost) {
				cancelEntry(entry, 'lease-not-held');
			}
		}

		this.#leaseTimer?.close();
		this.#leaseTimer = undefined;
		this.#watchLease();
	}

	/** Looks again when the lease ends, in case no renewal comes. */
	#watchLease(): void {
		const {leaseEnd} = this.#opts.ownership.read();
		if (this.#leaseTimer !== undefined || leaseEnd === undefined || this.#entries.size === 0) {
			return;
		}

		const remainingMs = leaseEnd.monotonicMs - this.#opts.clock.readMoment().monotonicMs;
		this.#leaseTimer = this.#opts.clock.startTimer(Math.max(remainingMs, 1), () => {
			this.#refresh();
		});
	}

	#count(partition: PartitionId, change: number): void {
		const key = formatPartitionId(partition);
		const count = (this.#counts.get(key) ?? 0) + change;
		if (count === 0) {
			this.#counts.delete(key);
		} else {
			this.#counts.set(key, count);
		}
	}

	#reportDrained(): void {
		for (const [key, {partition, fence, releasing}] of this.#opts.ownership.read().grants) {
			const isNews = releasing && !this.#counts.has(key) && this.#drained.get(key) !== formatFence(fence);
			if (isNews) {
				this.#drained.set(key, formatFence(fence));
				this.#opts.onDrained(partition);
			}
		}
	}
}

function cancelEntry(entry: Entry, reason: FailureReason): void {
	entry.controller.abort(reason);
}
