/** Consecutive time-outs without a liveness signal after which the server counts as silent. */
const timeoutsUntilSilent = 4;

/** Interval at which single requests are sent to a silent server. */
const probeIntervalMs = 500;

/** Detects a silent backend server, so that requests don't each wait for their time-out. */
export class SilenceWatch {
	#timeouts = 0;
	#lastProbeMs = Number.NEGATIVE_INFINITY;

	/** Records a request that was not answered before its deadline. */
	recordTimeout(): void {
		this.#timeouts++;
	}

	/** Records a liveness signal. */
	recordLiveness(): void {
		this.#timeouts = 0;
	}

	/** Whether a request may be sent now. A silent server gets one per probe interval. */
	maySend(nowMs: number): boolean {
		if (this.#timeouts < timeoutsUntilSilent) {
			return true;
		}

		if (nowMs - this.#lastProbeMs < probeIntervalMs) {
			return false;
		}

		this.#lastProbeMs = nowMs;
		return true;
	}
}
