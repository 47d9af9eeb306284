import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {CellRowStore} from './cell-rows.js';

const intervalMs = 1000;

/** What the watch works with. */
export type ConfigurationWatch = {
	readonly rows: CellRowStore;
	readonly clock: Clock;
	readonly isController: () => boolean;
	readonly learn: (configuration: Configuration) => void;
};

/** Reads the configuration once on every node, and again and again on the controller, until the signal aborts. */
export async function watchConfiguration(watch: ConfigurationWatch, signal: AbortSignal): Promise<void> {
	let learnedVersion = -1;
	while (!signal.aborted) {
		if (learnedVersion < 0 || watch.isController()) {
			learnedVersion = await refreshConfiguration(watch, learnedVersion);
		}

		await watch.clock.sleep(intervalMs, signal);
	}
}

async function refreshConfiguration({rows, learn}: ConfigurationWatch, learnedVersion: number): Promise<number> {
	const read = await rows.readConfiguration();
	if (read.isErr()) {
		return learnedVersion;
	}

	if (read.value !== undefined && read.value.version > learnedVersion) {
		learn(read.value);
	}

	return Math.max(learnedVersion, read.value?.version ?? 0);
}
