import {
	findByKey, removeCovered, type GrantedRange, type KeyRange, type ReleasedRange,
} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {Grant} from '@buckthornpoint/key-ranges/range-member.js';

/** Work that began on a range goes on for this long after the range was taken away, in milliseconds. */
const workMs = 120;

/** The server's clock may run this much slow. */
const slowness = 1.02;

type Held = GrantedRange & {readonly untilMs: number; readonly leavingAtMs?: number};

/** A backend server that holds ranges as the platform's page says. Times are those of the simulation. */
export class SimulatedBackend {
	readonly id: string;
	readonly bornMs: number;
	#held: readonly Held[] = [];
	#released: readonly ReleasedRange[] = [];

	constructor(id: string, bornMs: number) {
		this.id = id;
		this.bornMs = bornMs;
	}

	/** Lists what it holds, or still works on. */
	listHeld(nowMs: number): readonly GrantedRange[] {
		this.#held = this.#held.filter(({untilMs}) => untilMs > nowMs);
		return this.#held;
	}

	/** Ends what was left out, once its work is done. Returns whether anything is still to be released. */
	releaseLeft(nowMs: number): boolean {
		const done = this.listHeld(nowMs).filter(held => 'leavingAtMs' in held && (held as Held).leavingAtMs! + workMs <= nowMs); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		this.#held = this.#held.filter(held => !done.includes(held));
		this.#released = [...this.#released, ...done.map(({from, to, fence}) => ({from, to, handover: `${this.id}:${fence}`}))];
		return this.#held.some(({leavingAtMs}) => leavingAtMs !== undefined) || this.#released.length > 0;
	}

	/** What its heartbeat says. */
	createHolds(nowMs: number): {readonly holds: readonly KeyRange[]; readonly released: readonly ReleasedRange[]} {
		return {holds: this.listHeld(nowMs).map(({from, to}) => ({from, to})), released: this.#released};
	}

	/** Takes the answer to a heartbeat that it sent at `sentMs`. Returns the ranges that are new. */
	applyGrant(grant: Grant | undefined, sentMs: number, nowMs: number): readonly GrantedRange[] {
		this.#released = [];
		if (grant === undefined) {
			return [];
		}

		const untilMs = sentMs + (grant.holdMs * slowness);
		const before = this.listHeld(nowMs).toSorted((left, right) => left.from - right.from);
		const left = removeCovered(before, grant.ranges).map((range): Held => {
			const held = findByKey(before, range.from) as Held; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			return {...held, ...range, leavingAtMs: held.leavingAtMs ?? nowMs};
		});
		this.#held = [...left, ...grant.ranges.map((range): Held => ({...range, untilMs}))];
		return removeCovered(grant.ranges, before).map(range => ({...range, fence: findByKey(grant.ranges, range.from)?.fence ?? 0}));
	}
}
