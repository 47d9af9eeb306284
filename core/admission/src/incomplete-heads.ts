/** An incomplete request head of a connection. */
export type IncompleteHead = {
	readonly bytes: number;
	/** When its first bytes were seen. */
	readonly sinceMs: number;
};

/**
 * Selects the heads to give up so that the others stay within the limit: those that have been incomplete for longest, and of equally
 * old ones the longest. Untrusted callers send parts of many heads and stop; ordinary heads are complete within some milliseconds.
 */
export function selectAbandonedHeads<Head extends IncompleteHead>(heads: readonly Head[], limitBytes: number): readonly Head[] {
	let excessBytes = heads.reduce((sum, {bytes}) => sum + bytes, 0) - limitBytes;
	if (excessBytes <= 0) {
		return [];
	}

	const abandoned: Head[] = [];
	for (const head of heads.toSorted((a, b) => a.sinceMs - b.sinceMs || b.bytes - a.bytes)) {
		if (excessBytes <= 0) {
			break;
		}

		abandoned.push(head);
		excessBytes -= head.bytes;
	}

	return abandoned;
}
