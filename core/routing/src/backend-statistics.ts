import type {VmId} from '@buckthornpoint/types/identity.js';

const latencySmoothingFactor = 0.2;
const failureLatencyFactor = 2;
const minFailureLatencyMs = 10;
const maxFailureLatencyMs = 1000;

/** How an attempt ended. */
export type AttemptOutcome = 'answered' | 'failed' | 'cancelled';

type Measurements = {
	readonly outstanding: number;
	readonly latencyMs: number | undefined;
};

const noMeasurements: Measurements = {outstanding: 0, latencyMs: undefined};

/** Outstanding requests and latency of the backend servers that one node sends to. */
export class BackendStatistics {
	readonly #measurements = new Map<VmId, Measurements>();

	/** Records that a request was sent. */
	recordStart(vmId: VmId): void {
		const known = this.#get(vmId);
		this.#measurements.set(vmId, {...known, outstanding: known.outstanding + 1});
	}

	/** Records that a request ended. A failure counts as a slow answer, so that fast refusals attract no further requests. */
	recordEnd(vmId: VmId, latencyMs: number, ending: AttemptOutcome): void {
		const {outstanding, latencyMs: known} = this.#get(vmId);
		const counted = deriveLatency(latencyMs, known, ending);
		const next = known === undefined ? counted : known + ((counted - known) * latencySmoothingFactor);
		this.#measurements.set(vmId, {outstanding: Math.max(0, outstanding - 1), latencyMs: next});
	}

	/** Returns the number of requests that have been sent but have not ended. */
	countOutstanding(vmId: VmId): number {
		return this.#get(vmId).outstanding;
	}

	/** Returns the exponentially weighted mean latency in milliseconds; undefined before the first request has ended. */
	measureLatency(vmId: VmId): number | undefined {
		return this.#get(vmId).latencyMs;
	}

	/** Removes the measurements of VMs that are no longer members. */
	removeNonMembers(members: ReadonlySet<VmId>): void {
		for (const vmId of this.#measurements.keys()) {
			if (!members.has(vmId)) {
				this.#measurements.delete(vmId);
			}
		}
	}

	#get(vmId: VmId): Measurements {
		return this.#measurements.get(vmId) ?? noMeasurements;
	}
}

/** Returns the latency to record for an outcome. A cancelled attempt would have taken longer than the time until its cancellation. */
function deriveLatency(latencyMs: number, meanLatencyMs: number | undefined, ending: AttemptOutcome): number {
	switch (ending) {
		case 'answered': {
			return latencyMs;
		}

		case 'failed': {
			return Math.max(latencyMs, Math.min(maxFailureLatencyMs, Math.max(minFailureLatencyMs, (meanLatencyMs ?? 0) * failureLatencyFactor)));
		}

		case 'cancelled': {
			return Math.max(latencyMs, meanLatencyMs ?? 0);
		}
	}
}
