import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {RegisteredBackend} from './backend-registration.js';
import type {HealthCheck, HealthReport} from './health-check.js';

/** How an instance was shown to be ready. */
export type ReadinessProof = {readonly key: BackendInstanceKey; readonly by: 'health-check' | 'heartbeats'; readonly coldMs: number | undefined; readonly tookMs: number};

/** Dependencies of `ProbedReadiness`. */
export type ProbedReadinessOpts = {
	readonly clock: Clock;
	readonly healthCheck: HealthCheck;
	/** Returns the health path of a service; undefined while the routes are not known. */
	readonly getHealthPath: (service: string) => string | undefined;
	/** Usual time between two heartbeats. */
	readonly heartbeatMs: number;
	readonly onProved: (proof: ReadinessProof) => void;
	/** Called with each result of a health check that proves nothing. */
	readonly onInconclusive: (key: BackendInstanceKey, detail: string) => void;
};

/** Delay while the routes are not known. It doubles with each health check that proves nothing. */
const firstRetryDelayMs = 100;

const maxRetryDelayMs = 400;

/** Heartbeats that arrive for longer than this were not all sent before the first of them arrived: heartbeats are delayed by less. */
const maxHeartbeatDelayMs = 5000;

/** Heartbeats with a longer pause between them, in heartbeat intervals, are not a series. */
const maxPauseIntervals = 3;

type Candidate = {readonly key: BackendInstanceKey; readonly id: string; readonly service: string; readonly sinceMs: number; seriesStartMs: number; lastHeartbeatMs: number; isProbed: boolean};

/** Shows whether an instance of the local backend server is ready now, whatever its heartbeats say. */
export abstract class ReadinessEvidence {
	/** Whether the instance was shown to be ready since this process started. */
	abstract isProved(key: BackendInstanceKey): boolean;

	/** Records a heartbeat that was accepted, with a higher number than all earlier ones of its instance. */
	abstract recordHeartbeat(backend: RegisteredBackend): void;

	abstract close(): void;
}

/**
 * Proves that an instance of the local backend server is ready now. A single heartbeat is no proof to a process that has started
 * after others: it may have been sent before the server announced to an earlier process that it leaves, and delayed. What proves it is
 * the server's own answer to a health check, or, if it doesn't answer these with its state, heartbeats over a longer time than any is delayed.
 */
export class ProbedReadiness extends ReadinessEvidence {
	readonly #opts: ProbedReadinessOpts;
	readonly #closed = new AbortController();
	#proved: BackendInstanceKey | undefined;
	#candidate: Candidate | undefined;

	constructor(opts: ProbedReadinessOpts) {
		super();
		this.#opts = opts;
	}

	isProved(key: BackendInstanceKey): boolean {
		return key === this.#proved;
	}

	recordHeartbeat({key, id, service, state, lastHeartbeatMs: nowMs}: RegisteredBackend): void {
		if (key === this.#proved || state !== 'ready') {
			return;
		}

		const candidate = this.#candidate?.key === key
			? this.#candidate
			: this.#setCandidate({
				key, id, service, sinceMs: nowMs, seriesStartMs: nowMs, lastHeartbeatMs: nowMs, isProbed: false,
			});
		if (nowMs - candidate.lastHeartbeatMs > maxPauseIntervals * this.#opts.heartbeatMs) {
			candidate.seriesStartMs = nowMs;
		}

		candidate.lastHeartbeatMs = nowMs;
		if (nowMs - candidate.seriesStartMs > maxHeartbeatDelayMs) {
			this.#complete(candidate, 'heartbeats', undefined);
		} else if (!candidate.isProbed) {
			void this.#probe(candidate);
		}
	}

	close(): void {
		this.#closed.abort();
	}

	#setCandidate(candidate: Candidate): Candidate {
		this.#candidate = candidate;
		return candidate;
	}

	/** Repeats the health check while heartbeats arrive and nothing is proved. */
	async #probe(candidate: Candidate): Promise<void> {
		const {clock, healthCheck, getHealthPath, heartbeatMs, onInconclusive} = this.#opts;
		candidate.isProbed = true;
		try {
			let delayMs = firstRetryDelayMs;
			while (this.#isOpen(candidate) && this.#readNowMs() - candidate.lastHeartbeatMs <= maxPauseIntervals * heartbeatMs) {
				const path = getHealthPath(candidate.service);
				if (path !== undefined) {
					const report = await healthCheck.query(path);
					if (!this.#isOpen(candidate)) {
						break;
					}

					if (report.isReady && report.backendId === candidate.id) {
						this.#complete(candidate, 'health-check', report);
						break;
					}

					if (report.isUnfit && report.backendId === candidate.id) {
						// Heartbeats of before count for nothing against what the server says now.
						candidate.seriesStartMs = this.#readNowMs();
					}

					onInconclusive(candidate.key, report.isReady ? `answered by ${report.backendId ?? 'an unknown instance'}` : report.detail);
					delayMs = Math.min(2 * delayMs, maxRetryDelayMs);
				}

				await clock.sleep(delayMs, this.#closed.signal);
			}
		} finally {
			candidate.isProbed = false;
		}
	}

	#isOpen(candidate: Candidate): boolean {
		return this.#candidate === candidate && !this.#closed.signal.aborted;
	}

	#complete({key, sinceMs}: Candidate, by: ReadinessProof['by'], report: HealthReport | undefined): void {
		this.#candidate = undefined;
		this.#proved = key;
		this.#opts.onProved({
			key, by, coldMs: report?.coldMs, tookMs: Math.round(this.#readNowMs() - sinceMs),
		});
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
