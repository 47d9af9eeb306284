import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {CellRowStore} from './cell-rows.js';

const intervalMs = 1000;

/** Dependencies of `watchConfiguration`. */
export type ConfigurationWatchOpts = {
	readonly rows: CellRowStore;
	readonly clock: Clock;
	readonly isController: () => boolean;
	readonly receive: (configuration: Configuration) => void;
};

/** Reads the configuration from the store until the first read succeeds, and afterwards only while this node is the controller. Ends when the signal aborts. */
export async function watchConfiguration(opts: ConfigurationWatchOpts, signal: AbortSignal): Promise<void> {
	let receivedVersion = -1;
	while (!signal.aborted) {
		if (receivedVersion < 0 || opts.isController()) {
			receivedVersion = await refreshConfiguration(opts, receivedVersion);
		}

		await opts.clock.sleep(intervalMs, signal);
	}
}

async function refreshConfiguration({rows, receive}: ConfigurationWatchOpts, receivedVersion: number): Promise<number> {
	const read = await rows.readConfiguration();
	if (read.isErr()) {
		return receivedVersion;
	}

	if (read.value !== undefined && read.value.version > receivedVersion) {
		receive(read.value);
	}

	return Math.max(receivedVersion, read.value?.version ?? 0);
}
