import type {HeartbeatReply, MemberHeartbeat} from './messages.js';
import type {RangeMap} from './range-map.js';
import {
	encodeRangeMap, encodeRangeMapChanges, type RangeMapRecord, type RangeMapUpdate,
} from './range-map-record.js';

/** Creates range map updates for members. All members need the same few updates, so each full map is encoded only once. */
export class MapUpdates {
	readonly #records = new WeakMap<RangeMap, RangeMapRecord>();

	/** Versions below which members get the full map, by service. */
	readonly #minSince = new Map<string, number>();

	/** Sends the full map to members with an earlier version: its changes since then are not known. */
	setFullBelow({service, version}: RangeMap): void {
		this.#minSince.set(service, version);
	}

	/** Creates the updates for a member that has the given map versions, by service. */
	createUpdates(maps: readonly RangeMap[], known: MemberHeartbeat['mapVersions']): Pick<HeartbeatReply, 'maps'> {
		const outdated = maps.filter(({service, version}) => (known[service] ?? 0) !== version);
		return outdated.length === 0 ? {} : {maps: outdated.map(map => this.#encode(map, known[map.service] ?? 0))};
	}

	#encode(map: RangeMap, since: number): RangeMapUpdate {
		return since < (this.#minSince.get(map.service) ?? 0) ? this.#encodeFull(map) : encodeRangeMapChanges(map, since) ?? this.#encodeFull(map);
	}

	#encodeFull(map: RangeMap): RangeMapRecord {
		const record = this.#records.get(map) ?? encodeRangeMap(map);
		this.#records.set(map, record);
		return record;
	}
}
