/** Called with each new value. */
export type Listener<T> = (value: T) => void;

/** A value that one task owns and updates. Other tasks read it or subscribe to changes. */
export class ObservableValue<T> {
	readonly #listeners = new Set<Listener<T>>();
	#value: T;

	constructor(initial: T) {
		this.#value = initial;
	}

	/** Returns the current value. */
	read(): T {
		return this.#value;
	}

	/** Sets a new value and notifies the listeners. Only the task that owns the value calls this. */
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
