import type {Clock} from '@buckthornpoint/clock/clock.js';
import {LeaseClock} from '@buckthornpoint/clock/lease-clock.js';
import type {ControllerQuorum} from '@buckthornpoint/key-ranges/controller-quorum.js';
import {MemberVouchers} from '@buckthornpoint/key-ranges/member-vouchers.js';
import type {MemberHeartbeat} from '@buckthornpoint/key-ranges/messages.js';
import type {RangeController} from '@buckthornpoint/key-ranges/range-controller.js';
import type {RangeMap} from '@buckthornpoint/key-ranges/range-map.js';
import type {Renewal} from './controller-lease-types.js';

/** The vouchers that this node's controller receives. On the monotonic clock they would look too young after the VM was suspended. */
export class ControllerVouchers {
	readonly #clock: LeaseClock;
	readonly #leaseMs: number;
	#members: MemberVouchers;

	constructor(clock: Clock, leaseMs: number) {
		this.#clock = new LeaseClock(clock);
		this.#leaseMs = leaseMs;
		this.#members = new MemberVouchers(0, leaseMs);
	}

	/** Starts without vouchers for a controller with this epoch. */
	start(epoch: number): void {
		this.#members = new MemberVouchers(epoch, this.#leaseMs);
	}

	/** Records a heartbeat. Returns the token for the reply and the longest lease that it may grant. `quorums` are the lists of which the row may have any. */
	recordHeartbeat(heartbeat: MemberHeartbeat, quorums: readonly ControllerQuorum[]): {readonly token: number; readonly maxLeaseMs: number} {
		const nowMs = this.#clock.readNowMs();
		this.#members.record(heartbeat, nowMs);
		return {token: Math.floor(nowMs), maxLeaseMs: this.#members.measureMaxLeaseMs(quorums, nowMs)};
	}

	/** Creates the next write of the row, with the present list of members. `nowMs` is the controller's time. */
	createRenewal(controller: Pick<RangeController, 'earlierLeasesEndMs' | 'hasCurrentMaps'>, maps: readonly RangeMap[], nowMs: number): Renewal {
		return {
			maps,
			earlierLeasesMs: controller.earlierLeasesEndMs - nowMs,
			areMapsCurrent: controller.hasCurrentMaps(nowMs),
			quorum: this.#members.createQuorum(this.#clock.readNowMs()),
		};
	}
}
