/** Limit for the incomplete answers of one backend server: a fraction of the memory of the smallest VM. */
const maxIncompleteBytes = 48 * 1024 * 1024;

/** Bounds the total memory of the incomplete answers of one backend server, across all of its connections. */
export class AnswerMemoryLimit {
	readonly #maxBytes: number;
	#usedBytes = 0;

	constructor(maxBytes = maxIncompleteBytes) {
		this.#maxBytes = maxBytes;
	}

	get usedBytes(): number {
		return this.#usedBytes;
	}

	/** Reserves capacity for more bytes. Throws if the limit would be exceeded. */
	acquire(bytes: number): void {
		if (this.#usedBytes + bytes > this.#maxBytes) {
			throw new Error('the incomplete answers of the server exceed their memory limit');
		}

		this.#usedBytes += bytes;
	}

	release(bytes: number): void {
		this.#usedBytes -= bytes;
	}
}
