/** An unbounded message queue that one task consumes in order. Posting never waits. */
export class Mailbox<T> implements AsyncIterable<T> {
	#messages: T[] = [];
	#wake: (() => void) | undefined;
	#closed = false;

	/** Adds a message. A closed mailbox ignores it. */
	post(message: T): void {
		if (this.#closed) {
			return;
		}

		this.#messages.push(message);
		this.#wake?.();
	}

	/** Ends the iteration after the messages that are already queued. */
	close(): void {
		this.#closed = true;
		this.#wake?.();
	}

	async * [Symbol.asyncIterator](): AsyncIterator<T> {
		while (true) {
			const batch = this.#messages;
			this.#messages = [];
			yield * batch;
			if (this.#messages.length > 0) {
				continue;
			}

			if (this.#closed) {
				return;
			}

			await this.#waitForMessage();
		}
	}

	async #waitForMessage(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = resolve;
		});
		this.#wake = undefined;
	}
}
