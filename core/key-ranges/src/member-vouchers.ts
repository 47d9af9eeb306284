import type {MemberHeartbeat} from './messages.js';
import {countMajority, type ControllerQuorum} from './controller-quorum.js';

/**
 * Age of its majority's vouchers up to which a controller grants leases of full length: members send a heartbeat every 550 ms at most,
 * and a voucher returns with the heartbeat after the reply that carried it.
 */
const maxVoucherAgeMs = 1500;

/** The majority of fewer members is all of them or just one, so that a list would not help after a loss. */
const minMembers = 3;

/**
 * A controller's record of until when its members had not followed another controller. Each reply carries a token, the
 * controller's time; a heartbeat returns the token of the last reply that its node accepted. The time of arrival of a heartbeat proves
 * nothing, since it may have been sent long before. Times are those of a clock that runs at least as fast as real time, suspensions included.
 */
export class MemberVouchers {
	readonly #epoch: number;
	readonly #leaseMs: number;
	/** The latest token returned by each node process. */
	readonly #tokens = new Map<string, number>();
	/** When each VM was heard last, including nodes that do not vouch. */
	readonly #heardMs = new Map<string, number>();

	/** `leaseMs` is the duration of a lease that is not shortened. */
	constructor(epoch: number, leaseMs: number) {
		this.#epoch = epoch;
		this.#leaseMs = leaseMs + maxVoucherAgeMs;
	}

	record({vmId, incarnation, epoch, token}: Pick<MemberHeartbeat, 'vmId' | 'incarnation' | 'epoch' | 'token'>, nowMs: number): void {
		this.#heardMs.set(vmId, nowMs);
		if (token !== undefined && epoch === this.#epoch) {
			this.#tokens.set(incarnation, Math.max(token, this.#tokens.get(incarnation) ?? token));
		}
	}

	/**
	 * Creates the list of members to write into the row; undefined if not more than half of the known nodes vouch. Only members with recent
	 * vouchers are listed, since leases granted before the write are bound by the list, too.
	 */
	createQuorum(nowMs: number): ControllerQuorum | undefined {
		for (const times of [this.#tokens, this.#heardMs]) {
			for (const [key, timeMs] of times) {
				if (nowMs - timeMs > this.#leaseMs) {
					times.delete(key);
				}
			}
		}

		const members = [...this.#tokens].filter(([, token]) => nowMs - token <= maxVoucherAgeMs).map(([incarnation]) => incarnation);
		return members.length >= Math.max(minMembers, countMajority(this.#heardMs.size)) ? {members, leaseMs: this.#leaseMs} : undefined;
	}

	/** Measures the longest lease that the vouchers allow. `quorums` are the lists of which the row in the store may have any. */
	measureMaxLeaseMs(quorums: readonly ControllerQuorum[], nowMs: number): number {
		return Math.min(...quorums.map(({members, leaseMs}) => leaseMs - (nowMs - this.#findMajorityToken(members))));
	}

	/** Finds the time at which more than half of the members had not followed another controller. */
	#findMajorityToken(members: readonly string[]): number {
		const tokens = members.map(incarnation => this.#tokens.get(incarnation) ?? Number.NEGATIVE_INFINITY).toSorted((left, right) => right - left);
		return tokens[countMajority(members.length) - 1] ?? Number.NEGATIVE_INFINITY;
	}
}
