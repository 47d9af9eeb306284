import type {SlotQueue} from '@buckthornpoint/admission/slot-queue.js';
import type {BackendStatistics} from './backend-statistics.js';
import type {AdvertisedState, OwnerLoad} from './outcome.js';

/** What the load of the local backend server is read from. */
export type LoadSources = {
	readonly queue: SlotQueue;
	readonly statistics: BackendStatistics;
	readonly advertised: AdvertisedState | undefined;
	readonly nowMs: number;
};

/** Creates the load that is reported with each answer. */
export function createOwnerLoad({queue, statistics, advertised, nowMs}: LoadSources): OwnerLoad {
	const {running, waiting, slots, serviceMs} = queue.readLoad();
	const waits = queue.listWaits(nowMs);
	return {
		outstanding: running + waiting,
		slots,
		serviceMs: Math.round(serviceMs),
		slowness: Math.round(statistics.slowness.readFactor(nowMs) * 10) / 10,
		failureShare: Math.round(statistics.failureShare * 100) / 100,
		...(waits !== undefined && {waits}),
		...(advertised !== undefined && {advertised}),
	};
}
