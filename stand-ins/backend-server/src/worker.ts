import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {noFaults, type BackendServerFaults} from './faults.js';
import {FenceChecker} from './fence-checker.js';
import {RunCounter, type BackendServerCounts} from './run-counter.js';
import {ColdStartModel, type ColdStartOpts} from './cold-start-model.js';

const frozenPollMs = 10;

/** Reason why a request was refused before it started, as sent in the header `buckthornpoint-refused`. */
export type RefusalReason = 'overloaded' | 'stale-fence' | 'stopping' | 'deadline';

/** A request to the worker. */
export type WorkRequest = {
	readonly requestId: string;
	/** Service and partition, joined by a slash. */
	readonly partition: string;
	readonly fence: string | undefined;
	/** Time left until the deadline; undefined if there is none. */
	readonly remainingMs: number | undefined;
};

/** Outcome of a request. */
export type WorkResult = 'finished' | 'cancelled' | 'deadline-exceeded' | RefusalReason;

/** Options of the worker. */
export type WorkerOpts = {
	readonly slots: number;
	readonly checksFence: boolean;
	readonly serviceTimeMs: number;
	/** If absent, the server runs at full speed from its start. */
	readonly coldStart?: ColdStartOpts;
};

/** Load that the server reports. */
export type BackendServerLoad = {
	readonly running: number;
	readonly slots: number;
	readonly cold: boolean;
};

/** Simulates the work of a backend server: slots, cold start, fences, deadlines and cancellation. */
export class Worker {
	readonly runs = new RunCounter();
	readonly #clock: Clock;
	readonly #random: RandomSource;
	readonly #opts: WorkerOpts;
	readonly #coldStart: ColdStartModel;
	#fences = new FenceChecker();
	#faults = noFaults;
	#running = 0;

	constructor(clock: Clock, random: RandomSource, opts: WorkerOpts) {
		this.#clock = clock;
		this.#random = random;
		this.#opts = opts;
		this.#coldStart = new ColdStartModel(opts.slots, opts.coldStart);
	}

	/** The faults that are currently injected. */
	get faults(): BackendServerFaults {
		return this.#faults;
	}

	/** Request counters of the server. */
	get counts(): BackendServerCounts {
		return this.runs.readCounts(this.#coldStart.overruns);
	}

	/** The current load. */
	get load(): BackendServerLoad {
		return {running: this.#running, slots: this.#opts.slots, cold: this.#coldStart.isCold};
	}

	/** Updates the injected faults; faults that are not given keep their value. */
	setFaults(faults: Partial<BackendServerFaults>): void {
		this.#faults = {...this.#faults, ...faults};
	}

	/** Makes the server as cold as after its start, without an announcement. */
	setCold(): void {
		this.#coldStart.setCold();
	}

	/** Resets the state that a restart of the process loses: the known fences and the warm-up. */
	replaceProcess(): void {
		this.#fences = new FenceChecker();
		this.#coldStart.setCold();
	}

	/** Returns true with the given probability. */
	mustInjectFault(probability: number): boolean {
		return probability > 0 && this.#random.generateFraction() < probability;
	}

	/** Waits while the server is frozen, then for a random part of the fault `answerDelayMs`. */
	async waitForAnswerDelay(): Promise<void> {
		await this.waitWhileFrozen();
		if (this.#faults.answerDelayMs > 0) {
			await this.#clock.sleep(this.#random.generateFraction() * this.#faults.answerDelayMs);
		}
	}

	/** Waits until the server is no longer frozen. */
	async waitWhileFrozen(): Promise<void> {
		while (this.#faults.frozen) {
			await this.#clock.sleep(frozenPollMs);
		}
	}

	/** Executes a request or refuses it. `signal` aborts when the caller no longer waits for the answer. */
	async run(request: WorkRequest, signal: AbortSignal): Promise<WorkResult> {
		await this.waitWhileFrozen();
		const refusal = this.#findRefusal(request);
		if (refusal !== undefined) {
			this.runs.recordRefused();
			return refusal;
		}

		this.#running++;
		this.runs.recordStarted(request.requestId, this.#running);
		this.#coldStart.recordStarted(this.#running);
		const result = await this.#serve(request, signal);
		this.#coldStart.recordFinished(this.#running);
		this.#running--;
		this.runs.recordEnded(result === 'finished');
		return result;
	}

	#findRefusal(request: WorkRequest): RefusalReason | undefined {
		if (this.#opts.checksFence && !this.#fences.admit(request.partition, request.fence)) {
			return 'stale-fence';
		}

		if (this.#faults.leaving) {
			return 'stopping';
		}

		if (request.remainingMs !== undefined && request.remainingMs <= 0) {
			return 'deadline';
		}

		return this.#running >= this.#opts.slots ? 'overloaded' : undefined;
	}

	async #serve(request: WorkRequest, signal: AbortSignal): Promise<WorkResult> {
		const workMs = this.#opts.serviceTimeMs * this.#faults.slowdown * this.#coldStart.measureSlowdown(this.#running);
		const allowedMs = Math.min(workMs, request.remainingMs ?? workMs);
		await this.#clock.sleep(allowedMs, signal);
		if (signal.aborted) {
			return 'cancelled';
		}

		return allowedMs < workMs ? 'deadline-exceeded' : 'finished';
	}
}
