import type {Clock, Timer} from './clock.js';

/**
 * An abort signal that aborts after a time, or earlier with another signal, until it is closed. Unlike `AbortSignal.any` of an
 * `AbortSignal.timeout`, whose timer is lost in a garbage collection, it keeps its timer.
 */
export class DeadlineSignal {
	readonly #controller = new AbortController();
	readonly #source: AbortSignal | undefined;
	readonly #timer: Timer;

	constructor(clock: Clock, delayMs: number, source?: AbortSignal) {
		this.#source = source;
		this.#timer = clock.startTimer(delayMs, () => {
			this.#controller.abort(new Error(`no answer within ${Math.round(delayMs)} ms`));
		});
		if (source?.aborted) {
			this.#handleSourceAbort();
		} else {
			source?.addEventListener('abort', this.#handleSourceAbort, {once: true});
		}
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	close(): void {
		this.#timer.close();
		this.#source?.removeEventListener('abort', this.#handleSourceAbort);
	}

	readonly #handleSourceAbort = (): void => {
		this.#timer.close();
		this.#controller.abort(this.#source?.reason);
	};
}
