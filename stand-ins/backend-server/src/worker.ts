import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {noFaults, type BackendServerFaults} from './faults.js';
import {FenceCheck} from './fence-check.js';
import {RunLog, type BackendServerCounts} from './run-log.js';
import {Warmth, type ColdStartOpts} from './warmth.js';

const frozenPollMs = 10;

/** Why a request was refused before it began, as the header `buckthornpoint-refused` says it. */
export type RefusalReason = 'overloaded' | 'stale-fence' | 'stopping' | 'deadline';

/** What a request asks of the worker. */
export type WorkRequest = {
	readonly requestId: string;
	/** Service and partition, as one text. */
	readonly partition: string;
	readonly fence: string | undefined;
	/** Time that is left, in milliseconds; undefined for no limit. */
	readonly remainingMs: number | undefined;
};

/** What became of the work. */
export type WorkResult = 'finished' | 'cancelled' | 'deadline-exceeded' | RefusalReason;

/** How the worker is set up. */
export type WorkerOpts = {
	readonly slots: number;
	readonly checksFence: boolean;
	readonly serviceTimeMs: number;
	/** Absent: the server is as fast at its start as later. */
	readonly coldStart?: ColdStartOpts;
};

/** What the server reports of its load. */
export type BackendServerLoad = {
	readonly running: number;
	readonly slots: number;
	readonly cold: boolean;
};

/** Plays the work of a backend server: slots, cold start, fences, deadlines and cancellation. */
export class Worker {
	readonly runs = new RunLog();
	readonly #clock: Clock;
	readonly #random: RandomSource;
	readonly #opts: WorkerOpts;
	readonly #warmth: Warmth;
	#fences = new FenceCheck();
	#faults = noFaults;
	#running = 0;

	constructor(clock: Clock, random: RandomSource, opts: WorkerOpts) {
		this.#clock = clock;
		this.#random = random;
		this.#opts = opts;
		this.#warmth = new Warmth(opts.slots, opts.coldStart);
	}

	/** What the server does wrong at present. */
	get faults(): BackendServerFaults {
		return this.#faults;
	}

	/** What the server counted. */
	get counts(): BackendServerCounts {
		return this.runs.readCounts(this.#warmth.overruns);
	}

	/** The load at this moment. */
	get load(): BackendServerLoad {
		return {running: this.#running, slots: this.#opts.slots, cold: this.#warmth.isCold};
	}

	/** Changes some of the faults. */
	setFaults(faults: Partial<BackendServerFaults>): void {
		this.#faults = {...this.#faults, ...faults};
	}

	/** Makes the server as cold as at its start, without telling anybody. */
	setCold(): void {
		this.#warmth.setCold();
	}

	/** Forgets what a process forgets when it starts again. */
	replaceProcess(): void {
		this.#fences = new FenceCheck();
		this.#warmth.setCold();
	}

	/** Tells whether an event with the given probability happens. */
	drawEvent(probability: number): boolean {
		return probability > 0 && this.#random.drawFraction() < probability;
	}

	/** Waits for as long as answers are delayed at present. */
	async waitBeforeAnswer(): Promise<void> {
		await this.waitWhileFrozen();
		if (this.#faults.answerDelayMs > 0) {
			await this.#clock.sleep(this.#random.drawFraction() * this.#faults.answerDelayMs);
		}
	}

	/** Waits until the server is not frozen. */
	async waitWhileFrozen(): Promise<void> {
		while (this.#faults.frozen) {
			await this.#clock.sleep(frozenPollMs);
		}
	}

	/** Works on a request, or refuses it. `signal` aborts when nobody waits for the answer any longer. */
	async run(request: WorkRequest, signal: AbortSignal): Promise<WorkResult> {
		await this.waitWhileFrozen();
		const refusal = this.#findRefusal(request);
		if (refusal !== undefined) {
			this.runs.noteRefused();
			return refusal;
		}

		this.#running++;
		this.runs.noteStarted(request.requestId, this.#running);
		this.#warmth.noteStarted(this.#running);
		const result = await this.#serveUntil(request, signal);
		this.#warmth.noteFinished(this.#running);
		this.#running--;
		this.runs.noteEnded(result === 'finished');
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

	async #serveUntil(request: WorkRequest, signal: AbortSignal): Promise<WorkResult> {
		const workMs = this.#opts.serviceTimeMs * this.#faults.slowdown * this.#warmth.measureSlowdown(this.#running);
		const boundMs = Math.min(workMs, request.remainingMs ?? workMs);
		await this.#clock.sleep(boundMs, signal);
		if (signal.aborted) {
			return 'cancelled';
		}

		return boundMs < workMs ? 'deadline-exceeded' : 'finished';
	}
}
