import type {EventEmitter} from 'node:events';

/** A signal that is caught before anybody can handle it. */
export class HeldSignal {
	#count = 0;
	#handle: (() => void) | undefined;

	/** `source` is the process. */
	constructor(source: EventEmitter, name: NodeJS.Signals) {
		source.on(name, () => {
			if (this.#handle === undefined) {
				this.#count++;
			} else {
				this.#handle();
			}
		});
	}

	/** Handles the signal from now on, and once where it came before. */
	subscribe(handle: () => void): void {
		this.#handle = handle;
		if (this.#count > 0) {
			handle();
		}
	}
}
