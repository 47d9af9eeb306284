/**
 * Maximum number of nodes that a request is offered to before it is refused; a refusal by a node costs only a round trip.
 * Only the last node may queue the request, so that it does not wait at one server while another has a free slot.
 */
const maxOfferedNodes = 3;

/** Maximum number of further offers, one for each refusal because of a server's request limit: other servers may have room. */
const maxOffersAfterLimit = 3;

/** Counts the nodes that one request is offered to. */
export class OfferBudget {
	#offered = 0;
	#limitRefusals = 0;

	/** Whether the next offer is the last one. */
	get isLast(): boolean {
		return this.#offered >= this.#max - 1;
	}

	get hasMore(): boolean {
		return this.#offered < this.#max;
	}

	recordOffered(): void {
		this.#offered++;
	}

	/** Records that a server refused the request because of its request limit. */
	recordLimitRefusal(): void {
		this.#limitRefusals++;
	}

	get #max(): number {
		return maxOfferedNodes + Math.min(this.#limitRefusals, maxOffersAfterLimit);
	}
}
