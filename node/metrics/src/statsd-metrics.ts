import {StatsD} from 'hot-shots';
import {Metrics, type MetricTags} from './metrics.js';
import type {CounterName, GaugeName, HistogramName} from './names.js';

const maxDatagramBytes = 1400;

/** Settings of a `StatsdMetrics`. */
export type StatsdMetricsOpts = {
	readonly host: string;
	readonly port: number;
	/** Prefix of each name, such as `buckthornpoint.`. */
	readonly prefix: string;
	/** Tags that are added to all values, such as the VM. */
	readonly globalTags: Readonly<Record<string, string>>;
};

/** Sends values to a StatsD server over UDP. */
export class StatsdMetrics extends Metrics {
	readonly #client: StatsD;

	constructor(opts: StatsdMetricsOpts) {
		super();
		this.#client = new StatsD({
			host: opts.host, port: opts.port, prefix: opts.prefix, globalTags: {...opts.globalTags}, maxBufferSize: maxDatagramBytes, errorHandler() {
				// Values that cannot be sent are dropped: metrics must not disturb the handling of requests.
			},
		});
	}

	override addCount(name: CounterName, value: number, tags: MetricTags = {}): void {
		this.#client.increment(name, value, {...tags});
	}

	override setGauge(name: GaugeName, value: number, tags: MetricTags = {}): void {
		this.#client.gauge(name, value, {...tags});
	}

	override recordValue(name: HistogramName, value: number, tags: MetricTags = {}): void {
		this.#client.histogram(name, value, {...tags});
	}

	override async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#client.close(() => {
				resolve();
			});
		});
	}
}
