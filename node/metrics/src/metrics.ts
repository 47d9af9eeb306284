import type {RequestClass} from '@buckthornpoint/types/configuration.js';
import type {CounterName, GaugeName, HistogramName} from './names.js';

/** Tags of a value. */
export type MetricTags = {
	readonly service?: string;
	readonly tenant?: string;
	readonly requestClass?: RequestClass;
	readonly outcome?: string;
	readonly reason?: string;
	readonly operation?: string;
};

/** Interface for recording metrics. Subclasses decide where the values are sent. */
export abstract class Metrics {
	/** Adds to a counter. */
	abstract addCount(name: CounterName, value: number, tags?: MetricTags): void;

	/** Sets a gauge. */
	abstract setGauge(name: GaugeName, value: number, tags?: MetricTags): void;

	/** Adds one value to a histogram. */
	abstract recordValue(name: HistogramName, value: number, tags?: MetricTags): void;

	/** Sends buffered values and closes the socket. */
	abstract close(): Promise<void>;
}

/** Drops all values. */
export class SilentMetrics extends Metrics {
	override addCount(): void {
		// Values are dropped.
	}

	override setGauge(): void {
		// Values are dropped.
	}

	override recordValue(): void {
		// Values are dropped.
	}

	override async close(): Promise<void> {
		// There are no resources to release.
	}
}
