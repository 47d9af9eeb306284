import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {LoadReport} from '@buckthornpoint/ownership/messages.js';

const intervalMs = 1000;

/** Who measures the load, and who hears of it. */
export type LoadReports = {
	readonly measure: () => LoadReport;
	readonly note: (load: LoadReport) => void;
};

/** Reports the load of the backend server beside the node at a steady interval until the signal aborts. */
export async function reportLoad(clock: Clock, {measure, note}: LoadReports, signal: AbortSignal): Promise<void> {
	await clock.sleep(intervalMs, signal);
	while (!signal.aborted) {
		note(measure());
		await clock.sleep(intervalMs, signal);
	}
}
