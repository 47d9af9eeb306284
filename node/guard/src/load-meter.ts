import type {LoadReport} from '@buckthornpoint/ownership/messages.js';
import type {RoutedRequest} from '@buckthornpoint/types/requests.js';

const maxKeys = 256;
const minRequests = 50;

type KeyCount = {
	readonly service: string;
	readonly key: string;
	readonly count: number;
};

/** Sums up what a backend server did since the last report. Counts of keys are bounded: a rare key may be left out. */
export class LoadMeter {
	#finished = 0;
	#totalLatencyMs = 0;
	#keys = new Map<string, KeyCount>();

	/** Takes note of a finished request. */
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

	/** Returns the sums and starts again. */
	measure(cold: boolean): LoadReport {
		const finished = this.#finished;
		const hottest = this.#findHottest();
		const report: LoadReport = {
			finished,
			meanLatencyMs: finished === 0 ? 0 : this.#totalLatencyMs / finished,
			cold,
			...(hottest !== undefined && finished >= minRequests && {hottest: {service: hottest.service, key: hottest.key, share: hottest.count / finished}}),
		};
		this.#finished = 0;
		this.#totalLatencyMs = 0;
		this.#keys = new Map();
		return report;
	}

	/** Makes room as in the algorithm of Misra and Gries: all counts fall by one. */
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
