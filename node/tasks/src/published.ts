/** Hears of each new value. */
export type Listener<T> = (value: T) => void;

/** A value that one task owns and publishes; other tasks read it or hear of its changes. */
export class Published<T> {
	readonly #listeners = new Set<Listener<T>>();
	#value: T;

	constructor(initial: T) {
		this.#value = initial;
	}

	/** Returns the value published last. */
	read(): T {
		return this.#value;
	}

	/** Publishes a new value. Only the task that owns the value calls this. */
	publish(value: T): void {
		this.#value = value;
		for (const listener of this.#listeners) {
			listener(value);
		}
	}

	/** Calls the listener on each new value until the returned function is called. */
	subscribe(listener: Listener<T>): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}
}
