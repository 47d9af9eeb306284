import type {HeartbeatReply, MemberHeartbeat} from './messages.js';

/**
 * The replies that a node process accepted, as far as a predecessor and a successor of a controller rely on them. Times are
 * those of a monotonic clock: the age of a reply may be understated, never overstated.
 */
export class ReplyHistory {
	#epoch = 0;
	#token: number | undefined;
	#lastReplyMs: number | undefined;
	/** When the last reply of a controller with a lower epoch was accepted. */
	#lastEarlierReplyMs: number | undefined;

	record({epoch, token}: Pick<HeartbeatReply, 'epoch' | 'token'>, nowMs: number): void {
		if (epoch < this.#epoch) {
			return;
		}

		if (epoch > this.#epoch) {
			this.#lastEarlierReplyMs = this.#lastReplyMs;
			this.#epoch = epoch;
			this.#token = undefined;
		}

		this.#token = token === undefined ? this.#token : Math.max(token, this.#token ?? token);
		this.#lastReplyMs = nowMs;
	}

	/** Creates the fields of a heartbeat with the epoch `epoch`. */
	createFields(epoch: number, nowMs: number): Pick<MemberHeartbeat, 'token' | 'earlierReplyAgeMs'> {
		return epoch === this.#epoch
			? {
				...(this.#token !== undefined && {token: this.#token}),
				...(this.#lastEarlierReplyMs !== undefined && {earlierReplyAgeMs: Math.floor(nowMs - this.#lastEarlierReplyMs)}),
			}
			: {};
	}
}
