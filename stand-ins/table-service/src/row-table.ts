import type {Row, Transaction} from '@buckthornpoint/table-store/table-store.js';

/** The in-memory rows of the stand-in. */
export class RowTable {
	readonly #rows = new Map<string, Row>();

	/** Returns the row with the key, or undefined if there is none. */
	readRow(key: string): Row | undefined {
		return this.#rows.get(key);
	}

	/** Returns the rows whose keys begin with the prefix, sorted by key. */
	readRows(prefix: string): readonly Row[] {
		return [...this.#rows.values()]
			.filter(row => row.key.startsWith(prefix))
			.toSorted((left, right) => left.key < right.key ? -1 : 1);
	}

	/** Commits all writes and returns true; returns false without any effect if a condition does not hold. */
	commitTransaction(transaction: Transaction): boolean {
		const holds = transaction.conditions.every(condition => (this.#rows.get(condition.key)?.version ?? 0) === condition.version);
		if (!holds) {
			return false;
		}

		for (const write of transaction.writes) {
			const version = (this.#rows.get(write.key)?.version ?? 0) + 1;
			if (write.value === undefined) {
				this.#rows.delete(write.key);
			} else {
				this.#rows.set(write.key, {
					key: write.key, version, writeId: transaction.writeId, value: write.value,
				});
			}
		}

		return true;
	}
}
