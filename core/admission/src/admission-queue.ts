import type {RequestClass} from '@buckthornpoint/types/configuration.js';

/** Shares of the classes while all of them wait. */
const weights: Readonly<Record<RequestClass, number>> = {interactive: 8, transactional: 4, 'service-to-service': 1};
const classOrder: readonly RequestClass[] = ['interactive', 'transactional', 'service-to-service'];

/** A request that waits. */
export type Waiting<T> = {
	readonly item: T;
	readonly requestClass: RequestClass;
};

/**
 * Requests that wait for a backend server, bounded in number. Each class is served in order of arrival; between the
 * classes stride scheduling gives each a share by its weight, so that none starves.
 */
export class AdmissionQueue<T> {
	readonly #maxWaiting: number;
	readonly #queues = new Map<RequestClass, T[]>(classOrder.map(requestClass => [requestClass, []]));
	readonly #passes = new Map<RequestClass, number>(classOrder.map(requestClass => [requestClass, 0]));
	#pass = 0;
	#count = 0;

	constructor(maxWaiting: number) {
		this.#maxWaiting = maxWaiting;
	}

	/** Returns how many requests wait. */
	count(): number {
		return this.#count;
	}

	/** Returns about how many requests will be served before one that a class gets now. */
	countAhead(requestClass: RequestClass): number {
		const own = this.#getQueue(requestClass).length;
		const turns = (own + 1) / weights[requestClass];
		let ahead = own;
		for (const other of classOrder) {
			ahead += other === requestClass ? 0 : Math.min(this.#getQueue(other).length, turns * weights[other]);
		}

		return ahead;
	}

	/** Adds a request. Returns the item that has to give way when the queue is full: the newest of the last class, or this one. */
	add(waiting: Waiting<T>): T | undefined {
		const queue = this.#getQueue(waiting.requestClass);
		if (queue.length === 0) {
			this.#passes.set(waiting.requestClass, Math.max(this.#pass, this.#getPass(waiting.requestClass)));
		}

		queue.push(waiting.item);
		this.#count++;
		if (this.#count <= this.#maxWaiting) {
			return undefined;
		}

		const last = classOrder.toReversed().find(requestClass => this.#getQueue(requestClass).length > 0);
		this.#count--;
		return last === undefined ? undefined : this.#getQueue(last).pop();
	}

	/** Removes and returns the request whose turn it is. */
	pick(): T | undefined {
		const waiting = classOrder.filter(requestClass => this.#getQueue(requestClass).length > 0);
		const first = waiting.toSorted((left, right) => this.#getPass(left) - this.#getPass(right))[0];
		if (first === undefined) {
			return undefined;
		}

		this.#count--;
		this.#pass = this.#getPass(first);
		this.#passes.set(first, this.#pass + (1 / weights[first]));
		return this.#getQueue(first).shift();
	}

	/** Removes a request that nobody waits for any more. */
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
