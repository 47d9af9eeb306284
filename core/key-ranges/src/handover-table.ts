import type {KeyRange, ReleasedRange} from './key-ranges.js';

/** What the last holders of ranges handed over, by service. The next holder needs it to be fast at once. */
export class HandoverTable {
	readonly #byService = new Map<string, Map<number, ReleasedRange>>();

	/** Takes note of what a backend server released. */
	note(service: string, released: readonly ReleasedRange[]): void {
		if (released.length === 0) {
			return;
		}

		const ranges = this.#byService.get(service) ?? new Map<number, ReleasedRange>();
		for (const range of released) {
			ranges.set(range.from, range);
		}

		this.#byService.set(service, ranges);
	}

	/** Returns what was handed over with a range or one around it. */
	findHandover(service: string, range: KeyRange): string | undefined {
		const ranges = this.#byService.get(service);
		const exact = ranges?.get(range.from);
		if (exact !== undefined && exact.to >= range.to) {
			return exact.handover;
		}

		return [...ranges?.values() ?? []].find(({from, to}) => from <= range.from && to >= range.to)?.handover;
	}
}
