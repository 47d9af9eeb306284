import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {LoadReport} from '@buckthornpoint/ownership/messages.js';

const intervalMs = 1000;

/** Functions that measure and record the load. */
export type LoadReportOpts = {
	readonly measure: () => LoadReport;
	readonly record: (load: LoadReport) => void;
};

/** Reports the load of the local backend server at a fixed interval until the signal aborts. */
export async function reportLoad(clock: Clock, {measure, record}: LoadReportOpts, signal: AbortSignal): Promise<void> {
	await clock.sleep(intervalMs, signal);
	while (!signal.aborted) {
		record(measure());
		await clock.sleep(intervalMs, signal);
	}
}
