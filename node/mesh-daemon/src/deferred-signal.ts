import type {EventEmitter} from 'node:events';

/** Catches a process signal from the start, and delivers it once a handler is subscribed. */
export class DeferredSignal {
	#pendingCount = 0;
	#handler: (() => void) | undefined;

	/** `source` emits the signal: `process`, outside of tests. */
	constructor(source: EventEmitter, name: NodeJS.Signals) {
		source.on(name, () => {
			if (this.#handler === undefined) {
				this.#pendingCount++;
			} else {
				this.#handler();
			}
		});
	}

	/** Calls the handler for each further signal, and once now if the signal was received before. */
	subscribe(handle: () => void): void {
		this.#handler = handle;
		if (this.#pendingCount > 0) {
			handle();
		}
	}
}
