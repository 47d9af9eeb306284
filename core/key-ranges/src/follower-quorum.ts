import {maxClockDrift} from './clock-drift.js';
import {countMajority, type ControllerQuorum} from './controller-quorum.js';
import type {MemberHeartbeat} from './messages.js';

/** Ratio of the times that the slowest and the fastest clock measure. */
const clockRatio = (1 - (maxClockDrift / 2)) / (1 + (maxClockDrift / 2));

/** The members of a predecessor that follow this controller: they vouch for the predecessor no more. */
export class FollowerQuorum {
	readonly #members: ReadonlySet<string>;
	readonly #leaseMs: number;
	/** The latest time at which each follower may have accepted a reply of an earlier controller. */
	readonly #lastReplies = new Map<string, number>();

	constructor({members, leaseMs}: ControllerQuorum) {
		this.#members = new Set(members);
		this.#leaseMs = leaseMs;
	}

	/** Records a heartbeat of a node that follows this controller. */
	record({incarnation, earlierReplyAgeMs = 0}: Pick<MemberHeartbeat, 'incarnation' | 'earlierReplyAgeMs'>, nowMs: number): void {
		if (this.#members.has(incarnation)) {
			const lastReplyMs = nowMs - (Math.max(0, earlierReplyAgeMs) * clockRatio);
			this.#lastReplies.set(incarnation, Math.min(lastReplyMs, this.#lastReplies.get(incarnation) ?? lastReplyMs));
		}
	}

	/** Returns the latest end of the predecessor's leases: infinite until more than half of its members follow. */
	get leasesEndMs(): number {
		const lastReplyMs = [...this.#lastReplies.values()].toSorted((left, right) => left - right)[countMajority(this.#members.size) - 1];
		return lastReplyMs === undefined ? Number.POSITIVE_INFINITY : lastReplyMs + (this.#leaseMs / clockRatio);
	}
}
