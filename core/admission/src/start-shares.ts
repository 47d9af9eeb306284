/** Part of its share of the offered requests that each kind gets of the starts at least. A kind must not fall below a quarter of the mean; the rest is a margin for requests that start and are answered late. */
const minStartShare = 0.3;

/** Weight of the newest request in the shares of the kinds: about the last 200 requests, some seconds of the traffic of a server. */
const newestWeight = 0.005;

/** A kind below this share is forgotten: a kind that was offered once is remembered for about 900 requests. */
const minOffered = newestWeight / 100;

/** Bounds of what a kind is owed. The upper one bounds the burst of less urgent starts after a pause of that kind. */
const minOwed = -1;
const maxOwed = 2;

type KindShare = {priority: number; offered: number; owed: number; promised: number};

/** Counts how many starts each kind of request is owed, so that none starves behind more urgent ones. */
export class StartShares {
	readonly #kinds = new Map<string, KindShare>();

	recordOffered(kind: string, priority: number): void {
		const own = this.#get(kind);
		own.priority = priority;
		for (const [name, each] of this.#kinds) {
			each.offered *= 1 - newestWeight;
			// A kind that is no longer offered, such as a removed route, is forgotten.
			if (each.offered < minOffered && each !== own) {
				this.#kinds.delete(name);
			}
		}

		own.offered += newestWeight;
	}

	/** Records that a caller came back at its promised time: the start that was set aside for it is owed to its kind. */
	recordClaimed(kind: string): void {
		this.#get(kind).promised++;
	}

	/** Records that a request that had claimed a promise left the queue. */
	recordClaimEnded(kind: string): void {
		const share = this.#get(kind);
		share.promised = Math.max(0, share.promised - 1);
	}

	recordStarted(kind: string): void {
		for (const [name, each] of this.#kinds) {
			each.owed = Math.min(maxOwed, each.owed + (minStartShare * this.getShare(name)));
		}

		const own = this.#get(kind);
		own.owed = Math.max(minOwed, own.owed - 1);
	}

	/** Returns how many starts a kind may take before more urgent ones. */
	countOwed(kind: string): number {
		const share = this.#kinds.get(kind);
		return share === undefined ? 0 : Math.max(0, Math.floor(share.owed)) + share.promised;
	}

	/** Lists the kinds that were offered lately. */
	listKinds(): ReadonlyArray<{readonly kind: string; readonly priority: number}> {
		return [...this.#kinds].map(([kind, {priority}]) => ({kind, priority}));
	}

	/** Returns the kind's share of the offered requests, 0 to 1. */
	getShare(kind: string): number {
		let total = 0;
		for (const {offered} of this.#kinds.values()) {
			total += offered;
		}

		return total === 0 ? 1 : (this.#kinds.get(kind)?.offered ?? 0) / total;
	}

	#get(kind: string): KindShare {
		const known = this.#kinds.get(kind);
		if (known !== undefined) {
			return known;
		}

		const created: KindShare = {
			priority: 0, offered: 0, owed: 0, promised: 0,
		};
		this.#kinds.set(kind, created);
		return created;
	}
}
