import type {LoadReport} from '@buckthornpoint/ownership/messages.js';
import type {RoutedRequest} from '@buckthornpoint/types/requests.js';

const maxKeys = 256;
/** A hottest key is reported only if at least this many requests have finished. */
const minRequestsForHottest = 50;

type KeyCount = {
	readonly service: string;
	readonly key: string;
	readonly count: number;
};

/** Measures the load of a backend server since the last report. At most `maxKeys` keys are counted, so counts are lower bounds and infrequent keys may be missing. */
export class LoadMeter {
	#finished = 0;
	#totalLatencyMs = 0;
	#keys = new Map<string, KeyCount>();

	/** Records a finished request. */
	record(routed: RoutedRequest, latencyMs: number): void {
		this.#finished++;
		this.#totalLatencyMs += latencyMs;
		const id = `${routed.service}/${routed.key}`;
		const known = this.#keys.get(id);
		if (known !== undefined || this.#keys.size < maxKeys) {
			this.#keys.set(id, {service: routed.service, key: routed.key, count: (known?.count ?? 0) + 1});
		} else {
			this.#reduceCounts();
		}
	}

	/** Returns the report and resets the counts. */
	measure(cold: boolean): LoadReport {
		const finished = this.#finished;
		const hottest = this.#findHottest();
		const report: LoadReport = {
			finished,
			meanLatencyMs: finished === 0 ? 0 : this.#totalLatencyMs / finished,
			cold,
			...(hottest !== undefined && finished >= minRequestsForHottest && {hottest: {service: hottest.service, key: hottest.key, share: hottest.count / finished}}),
		};
		this.#finished = 0;
		this.#totalLatencyMs = 0;
		this.#keys = new Map();
		return report;
	}

	/** Evicts keys by the Misra-Gries algorithm: decrements every count and removes the keys that reach 0. */
	#reduceCounts(): void {
		for (const [id, known] of this.#keys) {
			if (known.count === 1) {
				this.#keys.delete(id);
			} else {
				this.#keys.set(id, {...known, count: known.count - 1});
			}
		}
	}

	#findHottest(): KeyCount | undefined {
		let hottest: KeyCount | undefined;
		for (const known of this.#keys.values()) {
			hottest = known.count > (hottest?.count ?? 0) ? known : hottest;
		}

		return hottest;
	}
}
