import type {RequestClass} from '@buckthornpoint/types/configuration.js';
import type {CounterName, GaugeName, HistogramName} from './names.js';

/** What a value is about. */
export type MetricTags = {
	readonly service?: string;
	readonly tenant?: string;
	readonly requestClass?: RequestClass;
	readonly outcome?: string;
	readonly reason?: string;
	readonly operation?: string;
};

/** Takes measured values. The code that measures knows nothing of where they go. */
export abstract class Metrics {
	/** Adds to a counter. */
	abstract addCount(name: CounterName, value: number, tags?: MetricTags): void;

	/** Sets a gauge. */
	abstract setGauge(name: GaugeName, value: number, tags?: MetricTags): void;

	/** Adds one value to a histogram. */
	abstract recordValue(name: HistogramName, value: number, tags?: MetricTags): void;

	/** Sends what is waiting and gives up the socket. */
	abstract close(): Promise<void>;
}

/** Drops all values. */
export class SilentMetrics extends Metrics {
	override addCount(): void {
		// Nothing is counted.
	}

	override setGauge(): void {
		// Nothing is set.
	}

	override recordValue(): void {
		// Nothing is recorded.
	}

	override async close(): Promise<void> {
		// Nothing is held.
	}
}
