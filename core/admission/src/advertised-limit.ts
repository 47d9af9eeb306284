/** The request rate that a backend server accepts from all nodes together, as it advertises in its answers. */
export class AdvertisedLimit {
	#perS: number | undefined;
	#advertisedMs = Number.NEGATIVE_INFINITY;
	#hasAnswer = false;

	/** Requests per second; undefined if the server advertises no limit. */
	get perS(): number | undefined {
		return this.#perS;
	}

	/** Whether an answer of the server itself was recorded. */
	get hasAnswer(): boolean {
		return this.#hasAnswer;
	}

	/** Records the limit in an answer to a request that was sent at `sentMs`; undefined if the answer has none. Returns whether the limit changed. */
	record(perS: number | undefined, {sentMs, nowMs}: {readonly sentMs: number; readonly nowMs: number}): boolean {
		this.#hasAnswer = true;
		// Answers may arrive out of order: one to a request sent before the latest advertisement may be older than it.
		if (perS === undefined && sentMs <= this.#advertisedMs) {
			return false;
		}

		const hasChanged = perS !== this.#perS;
		this.#perS = perS;
		if (perS !== undefined) {
			this.#advertisedMs = nowMs;
		}

		return hasChanged;
	}

	/** Applies the limit that another node knows, until the first answer. Returns whether it was applied. */
	applyPeerLimit(perS: number): boolean {
		if (this.#hasAnswer || this.#perS !== undefined) {
			return false;
		}

		this.#perS = perS;
		return true;
	}
}
