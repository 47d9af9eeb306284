import type {OwnerLoad} from '@buckthornpoint/backend-link/outcome.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';

type NodeStatistics = {
	/** Requests of this node that are under way there. */
	outstanding: number;
	load: OwnerLoad | undefined;
	loadAtMs: number;
	downUntilMs: number;
};

/** Service time that is assumed before a node reported one, in milliseconds. */
const firstServiceMs = 50;

/** A cold server counts as this much slower, in milliseconds: it takes little, and takes longer. */
const coldPenaltyMs = 150;

/** What a request across failure domains costs more, in milliseconds of waiting: two ways, and bytes that are paid for. */
const crossingPenaltyMs = 4;

/** What a failed request costs, in milliseconds of waiting: about one more attempt of the caller. */
const failurePenaltyMs = 400;

/** A node that was not reached is passed over for this long, in milliseconds. */
const downMs = 500;

/** What a node knows of the others' load: from its own requests and from what came with their answers. */
export class NodeStatisticsTable {
	readonly #byAddress = new Map<string, NodeStatistics>();
	readonly #failureDomain: string;

	constructor(failureDomain: string) {
		this.#failureDomain = failureDomain;
	}

	noteSent(address: string): void {
		this.#get(address).outstanding++;
	}

	noteDone(address: string, load: OwnerLoad | undefined, nowMs: number): void {
		const statistics = this.#get(address);
		statistics.outstanding = Math.max(0, statistics.outstanding - 1);
		if (load !== undefined) {
			statistics.load = load;
			statistics.loadAtMs = nowMs;
		}
	}

	noteDown(address: string, nowMs: number): void {
		this.#get(address).downUntilMs = nowMs + downMs;
	}

	isDown(address: string, nowMs: number): boolean {
		return nowMs < this.#get(address).downUntilMs;
	}

	/** Estimates the time until an answer of the server beside the node, in milliseconds. Lower is better. */
	estimateMs(entry: DirectoryEntry): number {
		const {outstanding, load} = this.#get(entry.address);
		const slots = entry.backend?.slots ?? 1;
		const serviceMs = load?.serviceMs ?? firstServiceMs;
		const busy = Math.max(outstanding, load?.outstanding ?? 0);
		const waitMs = Math.max(0, busy + 1 - slots) * serviceMs / slots;
		const crossing = entry.failureDomain === this.#failureDomain ? 0 : crossingPenaltyMs;
		const cold = entry.backend?.isCold === true ? coldPenaltyMs : 0;
		// A server slows down as it fills; this also spreads requests while nobody waits.
		const fullness = busy / slots * serviceMs * 0.5;
		return serviceMs + waitMs + fullness + crossing + cold + ((load?.failureShare ?? 0) * failurePenaltyMs);
	}

	#get(address: string): NodeStatistics {
		const existing = this.#byAddress.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const created: NodeStatistics = {
			outstanding: 0, load: undefined, loadAtMs: Number.NEGATIVE_INFINITY, downUntilMs: Number.NEGATIVE_INFINITY,
		};
		this.#byAddress.set(address, created);
		return created;
	}
}
