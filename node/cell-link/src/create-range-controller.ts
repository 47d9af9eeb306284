import type {InheritedState, RangeControllerOpts} from '@buckthornpoint/key-ranges/controller-start.js';
import {formatBackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import {LeavingInstances} from '@buckthornpoint/key-ranges/leaving-instances.js';
import {RangeController} from '@buckthornpoint/key-ranges/range-controller.js';
import type {RangeMap} from '@buckthornpoint/key-ranges/range-map.js';
import type {Takeover} from './controller-lease-types.js';

/**
 * Creates the controller for a node that took over. If the store returned from an older copy, this node's maps may be later than the
 * stored ones, and any known VM may have run a controller of which the copy does not know.
 */
export function createRangeController(
	{
		record, previousRecord, maps, isAfterReturn, earlierLeasesMs, inheritedLeasesMs, leaves, unreadableServices, quorum,
	}: Takeover,
	{initialState, startMs, times}: {readonly initialState: InheritedState; readonly startMs: number; readonly times: RangeControllerOpts},
): RangeController {
	const {maps: knownMaps = [], ...inherited} = initialState;
	const leavingInstances = new LeavingInstances(inherited.leavingInstances);
	for (const {vmId, id, bornMs} of leaves) {
		leavingInstances.record(vmId, formatBackendInstanceKey(id, bornMs));
	}

	const latestMaps = isAfterReturn ? mergeLatest(maps, knownMaps) : maps;
	const possibleVms = isAfterReturn
		? [...latestMaps.flatMap(({vmIdByOwner}) => [...vmIdByOwner.values()]), ...(inherited.directory?.entries ?? []).map(({vmId}) => vmId)]
		: [];
	const knownVms = new Set([...previousRecord === undefined ? [] : [previousRecord.vmId], ...possibleVms]);
	return new RangeController({
		epoch: record.epoch,
		era: record.era,
		maps: latestMaps,
		startMs,
		...inherited,
		leavingInstances,
		unreadableServices,
		earlierLeasesEndMs: startMs + earlierLeasesMs,
		quorum,
		predecessors: {vmIds: knownVms, inheritedLeasesEndMs: startMs + inheritedLeasesMs},
		...(isAfterReturn && {recovery: {knownVms}}),
	}, times);
}

/** Merges maps that were read from the store with those that this node received from earlier controllers: of each service the latest. */
function mergeLatest(stored: readonly RangeMap[], known: readonly RangeMap[]): readonly RangeMap[] {
	const latest = new Map(stored.map(map => [map.service, map]));
	for (const map of known) {
		if (map.version > (latest.get(map.service)?.version ?? 0)) {
			latest.set(map.service, map);
		}
	}

	return [...latest.values()];
}
