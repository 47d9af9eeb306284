import type {HeartbeatReply, MemberHeartbeat} from './messages.js';
import type {RangeMap} from './range-map.js';
import {encodeRangeMap, encodeRangeMapChanges, type RangeMapRecord} from './range-map-record.js';

/** Creates range map updates for members. All members need the same few updates, so each full map is encoded only once. */
export class MapUpdates {
	readonly #records = new WeakMap<RangeMap, RangeMapRecord>();

	/** Creates the updates for a member that has the given map versions, by service. */
	createUpdates(maps: readonly RangeMap[], known: MemberHeartbeat['mapVersions']): Pick<HeartbeatReply, 'maps'> {
		const outdated = maps.filter(({service, version}) => (known[service] ?? 0) !== version);
		return outdated.length === 0 ? {} : {maps: outdated.map(map => encodeRangeMapChanges(map, known[map.service] ?? 0) ?? this.#encodeFull(map))};
	}

	#encodeFull(map: RangeMap): RangeMapRecord {
		const record = this.#records.get(map) ?? encodeRangeMap(map);
		this.#records.set(map, record);
		return record;
	}
}
