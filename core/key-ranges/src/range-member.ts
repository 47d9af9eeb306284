import {maxClockDrift} from './clock-drift.js';
import {
	findByKey, hasOverlap, keyCount, mergeGrants, mergeRanges, removeOverlaps, type BackendInstanceKey, type GrantedRange, type HeldRange, type KeyRange, type ReleasedRange,
} from './key-ranges.js';
import type {HeartbeatReply} from './messages.js';

/** How long heartbeats repeat a release: longer than a controller takeover takes, since a new controller may not have received it. */
const releaseReportMs = 10_000;

/** Shorter grants would end before the next heartbeat and are not sent. */
const minGrantMs = 300;

export type RangeMemberOpts = {
	/** Duration of a grant to the backend server, unless the lease ends earlier. */
	readonly grantMs: number;
};

/** Held and released ranges that a backend server reports in a heartbeat. */
export type BackendHoldings = {
	readonly key: BackendInstanceKey;
	readonly holds: readonly HeldRange[];
	readonly released: readonly ReleasedRange[];
};

/** The ranges that a backend server may hold, and for how long, counted from when it sent its heartbeat. */
export type Grant = {
	readonly ranges: readonly GrantedRange[];
	readonly durationMs: number;
};

/**
 * Grants ranges to the local backend server. It grants only ranges that the controller assigned, and never beyond the
 * lease. Times are milliseconds of a clock that runs at least as fast as real time.
 */
export class RangeMember {
	readonly #opts: RangeMemberOpts;
	/** Until this time, grants of an earlier node process may be in force. A heartbeat of the server that was delayed may not list them. */
	readonly #unknownGrantsEndMs: number;
	#epoch = 0;
	#backend: BackendInstanceKey | undefined;
	#assignment: readonly GrantedRange[] = [];
	#assignmentVersion = '';
	#leaseEndMs = Number.NEGATIVE_INFINITY;
	/** Ranges that the backend server may hold, until `#grantEndMs` at the latest. */
	#possiblyHeld: readonly KeyRange[] = [];
	#grantEndMs = Number.NEGATIVE_INFINITY;
	#released: ReadonlyArray<{readonly range: ReleasedRange; readonly recordedMs: number}> = [];
	/** Ranges of the last grant, with their fences. */
	#granted: readonly GrantedRange[] = [];
	/** Ranges that the last heartbeat of the backend server listed, and when it arrived. */
	#reported: readonly HeldRange[] = [];
	#reportedMs = Number.NEGATIVE_INFINITY;
	#mustReportHeld = false;
	/** Ranges of the last grant that were left out of the reply to the server. */
	#omitted: readonly KeyRange[] = [];

	/** `startMs` is when the node process started. Grants of an earlier process are unknown to this one. */
	constructor(opts: RangeMemberOpts, startMs: number) {
		this.#opts = opts;
		this.#unknownGrantsEndMs = startMs + (opts.grantMs * (1 + maxClockDrift));
	}

	get epoch(): number {
		return this.#epoch;
	}

	get assignmentVersion(): string {
		return this.#assignmentVersion;
	}

	/** Resets the state for another backend server instance. Grants of the earlier instance ended with it. */
	setBackend(key: BackendInstanceKey | undefined): void {
		if (key !== this.#backend) {
			this.#backend = key;
			this.#assignment = [];
			this.#assignmentVersion = '';
			this.#leaseEndMs = Number.NEGATIVE_INFINITY;
			this.#possiblyHeld = [];
			this.#grantEndMs = Number.NEGATIVE_INFINITY;
			this.#released = [];
			this.#omitted = [];
			this.#granted = [];
			this.#reported = [];
		}
	}

	/** Applies a controller's reply to a heartbeat that was sent at `sentMs` for `backend`. Returns whether the assignment changed. */
	applyReply(reply: HeartbeatReply, sentMs: number, backend: BackendInstanceKey | undefined): boolean {
		if (reply.epoch < this.#epoch) {
			return false;
		}

		this.#epoch = reply.epoch;
		this.#mustReportHeld = reply.mustReportHeld === true;
		if (backend === undefined || backend !== this.#backend) {
			return false;
		}

		if (reply.assignment === undefined && reply.assignmentVersion !== this.#assignmentVersion) {
			return false;
		}

		this.#leaseEndMs = reply.leaseMs > 0 ? Math.max(sentMs + reply.leaseMs, this.#leaseEndMs) : this.#leaseEndMs;
		if (reply.assignment === undefined || reply.assignmentVersion === this.#assignmentVersion) {
			return false;
		}

		this.#assignment = mergeGrants(reply.assignment);
		this.#assignmentVersion = reply.assignmentVersion;
		this.#released = this.#released.filter(({range}) => !this.#assignment.some(granted => hasOverlap(range, granted)));
		return true;
	}

	/** Records what a heartbeat of the backend server reports. The server keeps what it holds until its earlier grant ends. */
	recordHoldings(holds: BackendHoldings, nowMs: number): void {
		if (holds.key === this.#backend) {
			this.#recordReleased(holds.released, nowMs);
			this.#reported = holds.holds;
			this.#reportedMs = nowMs;
			this.#possiblyHeld = nowMs < this.#grantEndMs ? mergeRanges([...this.#possiblyHeld, ...holds.holds]) : mergeRanges(holds.holds);
		}
	}

	/** Returns the grant for a heartbeat of the backend server; undefined if nothing is renewed. */
	grant(holds: BackendHoldings, nowMs: number): Grant | undefined {
		if (holds.key !== this.#backend) {
			return undefined;
		}

		this.recordHoldings(holds, nowMs);
		const holdMs = Math.min(this.#opts.grantMs, (this.#leaseEndMs - nowMs) / (1 + maxClockDrift));
		if (this.#assignmentVersion === '' || holdMs < minGrantMs) {
			return undefined;
		}

		this.#possiblyHeld = mergeRanges([...holds.holds, ...this.#assignment]);
		this.#grantEndMs = Math.max(this.#grantEndMs, nowMs + (holdMs * (1 + maxClockDrift)));
		this.#omitted = [];
		this.#granted = this.#assignment;
		return {ranges: removeKnownHandovers(this.#assignment, holds.holds), durationMs: holdMs};
	}

	/** Records the ranges of the last grant that did not fit into the reply: the server was not granted them. */
	recordOmitted(ranges: readonly KeyRange[]): void {
		this.#omitted = ranges;
	}

	/** Returns whether the backend server has a grant of the key that is still in force. */
	isHeld(key: number, nowMs: number): boolean {
		return nowMs < this.#grantEndMs
			&& findByKey(this.#assignment, key) !== undefined
			&& findByKey(this.#possiblyHeld, key) !== undefined
			&& findByKey(this.#omitted, key) === undefined;
	}

	/** Lists the ranges that the controller assigned. */
	listAssigned(): readonly GrantedRange[] {
		return this.#assignment;
	}

	/** Whether the controller requested the ranges that the server holds. */
	get mustReportHeld(): boolean {
		return this.#mustReportHeld;
	}

	/** Lists the ranges that the backend server may hold, with their fences: those of its last heartbeat and those granted in the answer to it. */
	listHeld(nowMs: number): readonly HeldRange[] {
		const granted = nowMs < this.#grantEndMs ? this.#granted.filter(range => !this.#omitted.some(omitted => hasOverlap(range, omitted))) : [];
		const reported = nowMs < this.#reportedMs + (this.#opts.grantMs * (1 + maxClockDrift)) ? this.#reported : [];
		return [...granted.map(({from, to, fence}) => ({from, to, fence})), ...removeOverlaps(reported, granted).map(range => ({...range, fence: findFence(reported, range)}))];
	}

	/** Lists the ranges outside the assignment that the backend server may still hold. */
	listStillHeld(nowMs: number): readonly KeyRange[] {
		if (nowMs < this.#unknownGrantsEndMs) {
			return removeOverlaps([{from: 0, to: keyCount - 1}], this.#assignment);
		}

		if (nowMs >= this.#grantEndMs && this.#grantEndMs > Number.NEGATIVE_INFINITY) {
			return [];
		}

		return removeOverlaps(this.#possiblyHeld, this.#assignment);
	}

	/** Lists recently released ranges that have not been assigned to this node again. */
	listReleased(nowMs: number): readonly ReleasedRange[] {
		this.#released = this.#released.filter(({recordedMs}) => nowMs - recordedMs < releaseReportMs);
		return this.#released.map(({range}) => range);
	}

	#recordReleased(released: readonly ReleasedRange[], nowMs: number): void {
		if (released.length > 0) {
			const kept = this.#released.filter(({range}) => !released.some(later => hasOverlap(range, later)));
			this.#released = [...kept, ...released.map(range => ({range, recordedMs: nowMs}))];
		}
	}
}

function findFence(ranges: readonly HeldRange[], {from}: KeyRange): number {
	return ranges.find(range => range.from <= from && from <= range.to)?.fence ?? 0;
}

/** Removes the handover data of ranges that the server already holds, because space in the reply is limited. */
function removeKnownHandovers(ranges: readonly GrantedRange[], holds: readonly KeyRange[]): readonly GrantedRange[] {
	const held = mergeRanges(holds);
	return mergeGrants(ranges.map(range => {
		const holder = findByKey(held, range.from);
		return holder !== undefined && holder.to >= range.to ? {from: range.from, to: range.to, fence: range.fence} : range;
	}));
}
