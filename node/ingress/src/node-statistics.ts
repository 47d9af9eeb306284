import type {OwnerLoad} from '@buckthornpoint/backend-link/outcome.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';

type NodeStatistics = {
	/** Requests sent by this node that have not been answered. */
	inFlight: number;
	/** Load reported with the last answer. */
	load: OwnerLoad | undefined;
	loadReceivedMs: number;
	unreachableUntilMs: number;
	/** When the server's request limit allows the next start, according to its latest refusal. */
	limitedUntilMs: number;
	/** Until when the server counts as slow because a request to it has taken long. */
	overdueUntilMs: number;
};

/** Service time assumed until a node reports one. */
const initialServiceMs = 50;

/** Weight of the newest report in the mean service time over all servers. */
const newestReportWeight = 0.05;

/** Added to the estimate of a cold server, which accepts few requests and runs them slowly. */
const coldPenaltyMs = 150;

/** Cost of a failed request, expressed as waiting time: about the time of another attempt by the caller. */
const failurePenaltyMs = 400;

/** How long an unreachable node is skipped. */
const unreachableMs = 500;

/** How long a reported load is considered current. */
const loadValidityMs = 500;

/** How long a server counts as slow after a request to it was overdue, unless it answers before: about a slow period. */
const overdueMs = 400;

/** Slowness assumed of a server with an overdue request. */
const overdueSlowness = 3;

/** Share of a server's slots assumed to be in use when no current report exists. */
const assumedLoadShare = 0.6;

/**
 * A node's knowledge of the load of other nodes, from its own requests and the loads reported with their answers. In a large
 * fleet it sends to each server so rarely that it usually knows only a server's speed, not its present load.
 */
export class NodeStatisticsTable {
	readonly #byAddress = new Map<string, NodeStatistics>();
	#meanServiceMs = initialServiceMs;

	recordSent(address: string): void {
		this.#get(address).inFlight++;
	}

	recordCompleted(address: string, load: OwnerLoad | undefined, nowMs: number): void {
		const statistics = this.#get(address);
		statistics.inFlight = Math.max(0, statistics.inFlight - 1);
		if (load !== undefined) {
			statistics.load = load;
			statistics.overdueUntilMs = Number.NEGATIVE_INFINITY;
			statistics.loadReceivedMs = nowMs;
			this.#meanServiceMs += (load.serviceMs - this.#meanServiceMs) * newestReportWeight;
		}
	}

	recordUnreachable(address: string, nowMs: number): void {
		this.#get(address).unreachableUntilMs = nowMs + unreachableMs;
	}

	isUnreachable(address: string, nowMs: number): boolean {
		return nowMs < this.#get(address).unreachableUntilMs;
	}

	/** Records that a server refused a request because of its request limit, and when it accepts the next one. */
	recordLimited(address: string, untilMs: number): void {
		this.#get(address).limitedUntilMs = untilMs;
	}

	isLimited(address: string, nowMs: number): boolean {
		return nowMs < this.#get(address).limitedUntilMs;
	}

	/** Whether a node's server has no free slot, as far as is known from this node's own requests and a current report. */
	isFull({address, backend}: DirectoryEntry, nowMs: number): boolean {
		const {inFlight, load, loadReceivedMs} = this.#get(address);
		const currentLoad = nowMs - loadReceivedMs < loadValidityMs ? load : undefined;
		return Math.max(inFlight, currentLoad?.outstanding ?? 0) >= (backend?.slots ?? 1);
	}

	/**
	 * Records that a request to a server takes longer than nearly all others, so that a second try is sent. The first one is
	 * usually cancelled, and with it the report of the server's slowness that its answer would have brought.
	 */
	recordOverdue(address: string, nowMs: number): void {
		this.#get(address).overdueUntilMs = nowMs + overdueMs;
	}

	/** Estimates the response time of the node's backend server, without network transit. */
	estimateMs({address, backend}: DirectoryEntry, nowMs: number): number {
		const {
			inFlight, load, loadReceivedMs, overdueUntilMs,
		} = this.#get(address);
		const slots = backend?.slots ?? 1;
		const currentLoad = nowMs - loadReceivedMs < loadValidityMs ? load : undefined;
		const serviceMs = (load?.serviceMs ?? this.#meanServiceMs) * Math.max(currentLoad?.slowness ?? 1, nowMs < overdueUntilMs ? overdueSlowness : 1);
		const busySlots = Math.max(inFlight, currentLoad?.outstanding ?? slots * assumedLoadShare);
		const waitMs = Math.max(0, busySlots + 1 - slots) * serviceMs / slots;
		const coldMs = backend?.isCold === true ? coldPenaltyMs : 0;
		// A server slows down as its slots fill up. This term also spreads requests while no request has to wait.
		const fullnessMs = busySlots / slots * serviceMs * 0.5;
		return serviceMs + waitMs + fullnessMs + coldMs + ((load?.failureShare ?? 0) * failurePenaltyMs);
	}

	#get(address: string): NodeStatistics {
		const existing = this.#byAddress.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const created: NodeStatistics = {
			inFlight: 0, load: undefined, loadReceivedMs: Number.NEGATIVE_INFINITY, unreachableUntilMs: Number.NEGATIVE_INFINITY, limitedUntilMs: Number.NEGATIVE_INFINITY,
			overdueUntilMs: Number.NEGATIVE_INFINITY,
		};
		this.#byAddress.set(address, created);
		return created;
	}
}
