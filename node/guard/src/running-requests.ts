import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import {checkGrant, type OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import type {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import {formatFence, formatPartitionId, type PartitionId} from '@buckthornpoint/types/identity.js';
import type {FailureReason, RoutedRequest} from '@buckthornpoint/types/requests.js';

/** Dependencies of `RunningRequests`. */
export type RunningRequestsOpts = {
	readonly clock: Clock;
	readonly ownership: ObservableValue<OwnershipView>;
	/** Called once for each grant that is being handed over, when none of its requests is running or waiting. */
	readonly onDrained: (partition: PartitionId) => void;
};

/** A request that was accepted and is not finished. */
export type RunningRequest = {
	/** Aborted with a `FailureReason` when the request is cancelled. */
	readonly signal: AbortSignal;
	cancel(reason: FailureReason): void;
	/** Removes the request when it has finished. */
	close(): void;
};

type Entry = {
	readonly partition: PartitionId;
	readonly needsGrant: boolean;
	readonly controller: AbortController;
};

/** The requests that are waiting for the backend server or running there. Cancels a request when its lease, grant or deadline ends. */
export class RunningRequests {
	readonly #opts: RunningRequestsOpts;
	readonly #entries = new Set<Entry>();
	readonly #counts = new Map<string, number>();
	/** Fence of the grant that was last reported as drained, by partition. */
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

	/** Adds a request, which is cancelled at its deadline or when the node may no longer serve its partition. */
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

	/** Cancels all requests. */
	close(): void {
		this.#unsubscribe();
		this.#leaseTimer?.close();
		for (const entry of this.#entries) {
			cancelEntry(entry, 'stopping');
		}
	}

	#refresh(): void {
		const view = this.#opts.ownership.read();
		const now = this.#opts.clock.readTimestamp();
		for (const entry of this.#entries) {
			const refusal = checkGrant(view, entry.partition, now).match(() => undefined, ({reason}) => reason);
			const hasLostOwnership = refusal === 'lease-ended' || (refusal === 'no-grant' && entry.needsGrant);
			if (hasLostOwnership) {
				cancelEntry(entry, 'lease-not-held');
			}
		}

		this.#leaseTimer?.close();
		this.#leaseTimer = undefined;
		this.#watchLease();
	}

	/** Schedules a check at the end of the lease, in case it is not renewed. */
	#watchLease(): void {
		const {leaseEnd} = this.#opts.ownership.read();
		if (this.#leaseTimer !== undefined || leaseEnd === undefined || this.#entries.size === 0) {
			return;
		}

		const remainingMs = leaseEnd.monotonicMs - this.#opts.clock.readTimestamp().monotonicMs;
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
			const isNewlyDrained = releasing && !this.#counts.has(key) && this.#drained.get(key) !== formatFence(fence);
			if (isNewlyDrained) {
				this.#drained.set(key, formatFence(fence));
				this.#opts.onDrained(partition);
			}
		}
	}
}

function cancelEntry(entry: Entry, reason: FailureReason): void {
	entry.controller.abort(reason);
}
