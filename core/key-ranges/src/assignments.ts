import {AssignmentVersions} from './assignment-versions.js';
import {HandoverTable} from './handover-table.js';
import {
	removeOverlaps, type BackendInstanceKey, type GrantedRange, type KeyRange,
} from './key-ranges.js';
import type {BackendReport} from './messages.js';
import {RangeIndex} from './range-index.js';
import type {RangeMap, Segment} from './range-map.js';

/** The ranges that each owner is granted, with a version that changes with them. */
export class Assignments {
	readonly #versions: AssignmentVersions;
	readonly #handovers = new HandoverTable();
	/** Ranges that a planned map assigns to a new owner. They are not granted to the old owner again, since a write of that map whose reply was lost may still take effect. */
	readonly #withheld = new Map<string, RangeIndex>();

	constructor(epoch: number) {
		this.#versions = new AssignmentVersions(epoch);
	}

	getVersion(owner: BackendInstanceKey): string {
		return this.#versions.get(owner);
	}

	/** Gives the assignments of owners a new version after a change. */
	update(owners: Iterable<BackendInstanceKey>): void {
		for (const owner of owners) {
			this.#versions.update(owner);
		}
	}

	/** Records the ranges that a server released, with the data for their next holder. */
	recordReleased({service, released}: BackendReport): void {
		this.#handovers.record(service, released);
	}

	/** Withholds the segments of a service that a planned map assigns to new owners, and only these. */
	setWithheld(service: string, segments: readonly Segment[]): void {
		this.#withheld.set(service, new RangeIndex(segments));
		this.update(new Set(segments.flatMap(segment => segment.owner ?? [])));
	}

	/** Grants the withheld ranges of a map to its owners: the planned map was written, or can no longer be. */
	grantWithheld({service, segments}: RangeMap): void {
		const withheld = segments.filter(segment => this.isWithheld(service, segment));
		this.#withheld.delete(service);
		this.update(new Set(withheld.flatMap(segment => segment.owner ?? [])));
	}

	isWithheld(service: string, range: KeyRange): boolean {
		return this.#withheld.get(service)?.hasOverlap(range) === true;
	}

	/** Lists the ranges that an owner may be granted: its ranges in the map, except withheld ones, those that it must release in `moves`, and those that `isExcluded`. */
	list({key, service}: BackendReport, map: RangeMap | undefined, {moves, isExcluded}: {
		readonly moves: readonly KeyRange[]; readonly isExcluded: (segment: Segment) => boolean;
	}): readonly GrantedRange[] {
		return (map?.segments ?? [])
			.filter(segment => segment.owner === key && !this.isWithheld(service, segment) && !isExcluded(segment))
			.flatMap(segment => removeOverlaps([segment], moves).map(range => ({...range, fence: segment.fence})))
			.map(({from, to, fence}) => {
				const handover = this.#handovers.findHandover(service, {from, to});
				return {
					from, to, fence, ...(handover !== undefined && {handover}),
				};
			});
	}
}
