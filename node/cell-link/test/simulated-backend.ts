import {
	findByKey, removeOverlaps, type GrantedRange, type HeldRange as ReportedRange, type ReleasedRange,
} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {Grant} from '@buckthornpoint/key-ranges/range-member.js';

/** Requests that are running when a range is withdrawn take this long to finish. */
const executionMs = 120;

/** The server's clock may be slow by this factor, so that it holds a grant for longer. */
const clockSlowdown = 1.02;

type HeldRange = GrantedRange & {readonly untilMs: number; readonly withdrawnAtMs?: number};

/** A backend server that accepts and releases key ranges as the platform specifies. Times are those of the simulation. */
export class SimulatedBackend {
	readonly id: string;
	readonly startedAtMs: number;
	#held: readonly HeldRange[] = [];
	#released: readonly ReleasedRange[] = [];

	constructor(id: string, startedAtMs: number) {
		this.id = id;
		this.startedAtMs = startedAtMs;
	}

	/** Lists the ranges that the server holds, including withdrawn ranges whose requests have not finished. */
	listHeld(nowMs: number): readonly GrantedRange[] {
		this.#held = this.#held.filter(({untilMs}) => untilMs > nowMs);
		return this.#held;
	}

	/** Releases withdrawn ranges whose requests have finished. Returns whether there are releases left to make or to report. */
	releaseWithdrawn(nowMs: number): boolean {
		const done = this.listHeld(nowMs).filter(held => 'withdrawnAtMs' in held && (held as HeldRange).withdrawnAtMs! + executionMs <= nowMs); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		this.#held = this.#held.filter(held => !done.includes(held));
		this.#released = [...this.#released, ...done.map(({from, to, fence}) => ({from, to, handover: `${this.id}:${fence}`}))];
		return this.#held.some(({withdrawnAtMs}) => withdrawnAtMs !== undefined) || this.#released.length > 0;
	}

	/** Creates the ranges for a heartbeat. */
	createHeartbeatRanges(nowMs: number): {readonly holds: readonly ReportedRange[]; readonly released: readonly ReleasedRange[]} {
		return {holds: this.listHeld(nowMs).map(({from, to, fence}) => ({from, to, fence})), released: this.#released};
	}

	/** Applies the answer to a heartbeat that was sent at `sentMs`. Returns the newly held ranges. */
	applyGrant(grant: Grant | undefined, sentMs: number, nowMs: number): readonly GrantedRange[] {
		this.#released = [];
		if (grant === undefined) {
			return [];
		}

		const untilMs = sentMs + (grant.durationMs * clockSlowdown);
		const before = this.listHeld(nowMs).toSorted((withdrawn, right) => withdrawn.from - right.from);
		const withdrawnRanges = removeOverlaps(before, grant.ranges).map((range): HeldRange => {
			const held = findByKey(before, range.from) as HeldRange; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			return {...held, ...range, withdrawnAtMs: held.withdrawnAtMs ?? nowMs};
		});
		this.#held = [...withdrawnRanges, ...grant.ranges.map((range): HeldRange => ({...range, untilMs}))];
		return removeOverlaps(grant.ranges, before).map(range => ({...range, fence: findByKey(grant.ranges, range.from)?.fence ?? 0}));
	}
}
