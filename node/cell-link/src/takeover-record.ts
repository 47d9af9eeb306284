import type {ControllerQuorum} from '@buckthornpoint/key-ranges/controller-quorum.js';
import {deriveNumberInEra} from '@buckthornpoint/key-ranges/era-versions.js';
import type {CellSnapshot} from './cell-snapshot.js';
import type {ControlIdentity} from './controller-lease-types.js';
import type {ControllerRecord} from './controller-record.js';

/** No other node takes over within this time after a renewal. A lost controller is thus replaced after about 4 s. */
export const controllerTermMs = 3000;

/** Time for the last controller to go on in a new era before another node takes over. It needs a fraction of this. */
export const eraSettlingMs = 1000;

/** Maximum number of attempts to release the lease. A renewal that was already in transit can change the row first and cause a conflict. */
export const maxReleaseAttempts = 3;

/** Maximum relative drift between the store's clock and the local clock. */
export const maxClockDrift = 0.02;

/** How long the controller can grant leases without reaching the store: longer than outages of the store, which last about 10 s. */
export const leaseHorizonMs = 25_000;

/** Creates the row of a node that takes over. `knownEpoch` is the highest epoch that the node has received. */
export function createTakeoverRecord({record: previous, era, nowMs}: CellSnapshot, {identity, knownEpoch, isAfterReturn}: {
	readonly identity: ControlIdentity; readonly knownEpoch: number; readonly isAfterReturn: boolean;
}): {readonly record: ControllerRecord; readonly inheritedLeasesEndMs: number; readonly quorum: ControllerQuorum | undefined} {
	const {epoch = 0, lostEpoch = 0, mapsEra = 0, era: previousEra = 0, leasesEndMs = 0, earlierLeasesEndMs = 0} = previous ?? {};
	const lastEpoch = deriveNumberInEra(Math.max(epoch, lostEpoch), previousEra, era);
	// The copy may be older than leases that were granted since.
	const latestLeasesEndMs = isAfterReturn ? nowMs + leaseHorizonMs : leasesEndMs;
	return {
		inheritedLeasesEndMs: isAfterReturn ? 0 : earlierLeasesEndMs,
		// After a return the list may be older than the one that bound the last controller. Without eras a return can't be noticed.
		quorum: isAfterReturn || era === 0 || previousEra !== era ? undefined : previous?.quorum,
		record: {
			...identity,
			epoch: Math.max(lastEpoch, knownEpoch) + 1,
			untilMs: nowMs + controllerTermMs,
			leasesEndMs: Math.max(nowMs + leaseHorizonMs, latestLeasesEndMs),
			earlierLeasesEndMs: latestLeasesEndMs,
			era,
			mapsEra,
			lostEpoch: lastEpoch,
			// Until they have reported to this controller.
			...(previous?.shareHolders !== undefined && {shareHolders: previous.shareHolders}),
		},
	};
}
