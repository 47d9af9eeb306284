import type {VmId} from '@buckthornpoint/types/identity.js';

const newestShare = 0.2;
const failureFactor = 2;
const minFailureMs = 10;
const maxFailureMs = 1000;

/** How an attempt ended. */
export type AttemptEnding = 'answered' | 'failed' | 'cancelled';

type Bearer = {
	readonly outstanding: number;
	readonly latencyMs: number | undefined;
};

const unknownBearer: Bearer = {outstanding: 0, latencyMs: undefined};

/** What one node measures of the backend servers that it sends to. */
export class BearerStatistics {
	readonly #bearers = new Map<VmId, Bearer>();

	/** Takes note that a request was sent. */
	noteStart(vmId: VmId): void {
		const bearer = this.#get(vmId);
		this.#bearers.set(vmId, {...bearer, outstanding: bearer.outstanding + 1});
	}

	/** Takes note that a request ended. A failure counts as a slow answer, so that quick refusals attract nothing. */
	noteEnd(vmId: VmId, latencyMs: number, ending: AttemptEnding): void {
		const {outstanding, latencyMs: known} = this.#get(vmId);
		const counted = deriveLatency(latencyMs, known, ending);
		const next = known === undefined ? counted : known + ((counted - known) * newestShare);
		this.#bearers.set(vmId, {outstanding: Math.max(0, outstanding - 1), latencyMs: next});
	}

	/** Returns how many requests are under way. */
	countOutstanding(vmId: VmId): number {
		return this.#get(vmId).outstanding;
	}

	/** Returns the mean latency, the latest weighing most, in milliseconds; undefined while nothing is known. */
	measureLatency(vmId: VmId): number | undefined {
		return this.#get(vmId).latencyMs;
	}

	/** Forgets the VMs that are no members any more. */
	expire(members: ReadonlySet<VmId>): void {
		for (const vmId of this.#bearers.keys()) {
			if (!members.has(vmId)) {
				this.#bearers.delete(vmId);
			}
		}
	}

	#get(vmId: VmId): Bearer {
		return this.#bearers.get(vmId) ?? unknownBearer;
	}
}

/** The latency that an ending stands for; a cancelled attempt would have taken longer than it had. */
function deriveLatency(latencyMs: number, known: number | undefined, ending: AttemptEnding): number {
	switch (ending) {
		case 'answered': {
			return latencyMs;
		}

		case 'failed': {
			return Math.max(latencyMs, Math.min(maxFailureMs, Math.max(minFailureMs, (known ?? 0) * failureFactor)));
		}

		case 'cancelled': {
			return Math.max(latencyMs, known ?? 0);
		}
	}
}
