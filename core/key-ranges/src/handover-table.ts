import {
	findByKey, removeOverlaps, type KeyRange, type ReleasedRange,
} from './key-ranges.js';

/** Limit of recorded releases, which identify repetitions: heartbeats repeat a release, possibly after a later holder has released the same range, and the repetition must not replace the newer handover data. */
const maxRecordedReleases = 32_768;

/** The handover data of the last holder of each range, by service. With this data the next holder serves the range at full speed from the start. */
export class HandoverTable {
	/** Ranges are ordered by key and don't overlap. */
	readonly #byService = new Map<string, readonly ReleasedRange[]>();
	readonly #recordedReleases = new Set<string>();

	/** Records ranges that a backend server released. */
	record(service: string, released: readonly ReleasedRange[]): void {
		const newReleases = released.filter(range => this.#isNew(service, range));
		if (newReleases.length === 0) {
			return;
		}

		const earlier = this.#byService.get(service) ?? [];
		const kept = removeOverlaps(earlier, newReleases).map(range => ({...range, handover: findByKey(earlier, range.from)!.handover}));
		this.#byService.set(service, [...kept, ...newReleases].toSorted((left, right) => left.from - right.from));
	}

	/** Returns the handover data of the released range that contains the whole of `range`. */
	findHandover(service: string, range: KeyRange): string | undefined {
		const found = findByKey(this.#byService.get(service) ?? [], range.from);
		return found === undefined || found.to < range.to ? undefined : found.handover;
	}

	#isNew(service: string, {from, to, handover}: ReleasedRange): boolean {
		const name = `${service} ${from} ${to} ${handover}`;
		if (this.#recordedReleases.has(name)) {
			return false;
		}

		this.#recordedReleases.add(name);
		if (this.#recordedReleases.size > maxRecordedReleases) {
			const [oldest] = this.#recordedReleases;
			this.#recordedReleases.delete(oldest!);
		}

		return true;
	}
}
