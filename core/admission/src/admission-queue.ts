import type {RequestClass} from '@buckthornpoint/types/configuration.js';

/** Relative shares of the request classes while requests of all classes are waiting. */
const classWeights: Readonly<Record<RequestClass, number>> = {interactive: 8, transactional: 4, 'service-to-service': 1};
const classesByPriority: readonly RequestClass[] = ['interactive', 'transactional', 'service-to-service'];

/** A waiting request. */
export type WaitingRequest<T> = {
	readonly item: T;
	readonly requestClass: RequestClass;
};

/**
 * Bounded queue of requests that wait for a backend server. Each class is served in order of arrival; stride scheduling
 * gives each class a share by its weight, so that none starves.
 */
export class AdmissionQueue<T> {
	readonly #maxWaiting: number;
	readonly #queues = new Map<RequestClass, T[]>(classesByPriority.map(requestClass => [requestClass, []]));
	readonly #passes = new Map<RequestClass, number>(classesByPriority.map(requestClass => [requestClass, 0]));
	#pass = 0;
	#count = 0;

	constructor(maxWaiting: number) {
		this.#maxWaiting = maxWaiting;
	}

	/** Returns the number of waiting requests. */
	count(): number {
		return this.#count;
	}

	/** Estimates how many requests would be served before a request of the class that arrives now. */
	countAhead(requestClass: RequestClass): number {
		const own = this.#getQueue(requestClass).length;
		const rounds = (own + 1) / classWeights[requestClass];
		let ahead = own;
		for (const other of classesByPriority) {
			ahead += other === requestClass ? 0 : Math.min(this.#getQueue(other).length, rounds * classWeights[other]);
		}

		return ahead;
	}

	/** Adds a request. If the queue is full, removes the newest request of the lowest waiting class, which may be the added one, and returns it. */
	add(waiting: WaitingRequest<T>): T | undefined {
		const queue = this.#getQueue(waiting.requestClass);
		if (queue.length === 0) {
			this.#passes.set(waiting.requestClass, Math.max(this.#pass, this.#getPass(waiting.requestClass)));
		}

		queue.push(waiting.item);
		this.#count++;
		if (this.#count <= this.#maxWaiting) {
			return undefined;
		}

		const lowestClass = classesByPriority.toReversed().find(requestClass => this.#getQueue(requestClass).length > 0);
		this.#count--;
		return lowestClass === undefined ? undefined : this.#getQueue(lowestClass).pop();
	}

	/** Removes and returns the next request. */
	pick(): T | undefined {
		const waiting = classesByPriority.filter(requestClass => this.#getQueue(requestClass).length > 0);
		const nextClass = waiting.toSorted((left, right) => this.#getPass(left) - this.#getPass(right))[0];
		if (nextClass === undefined) {
			return undefined;
		}

		this.#count--;
		this.#pass = this.#getPass(nextClass);
		this.#passes.set(nextClass, this.#pass + (1 / classWeights[nextClass]));
		return this.#getQueue(nextClass).shift();
	}

	/** Removes an abandoned request. */
	remove(item: T): void {
		for (const queue of this.#queues.values()) {
			const index = queue.indexOf(item);
			if (index !== -1) {
				queue.splice(index, 1);
				this.#count--;
			}
		}
	}

	#getQueue(requestClass: RequestClass): T[] {
		return this.#queues.get(requestClass) ?? [];
	}

	#getPass(requestClass: RequestClass): number {
		return this.#passes.get(requestClass) ?? 0;
	}
}
