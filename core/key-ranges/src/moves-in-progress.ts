import type {PlannedMove} from './controller-state.js';

/** Moves of ranges whose owners have yet to release them. */
export class MovesInProgress {
	#moves: readonly PlannedMove[] = [];
	readonly #lastMs = new Map<string, number>();

	list(service: string): readonly PlannedMove[] {
		return this.#moves.filter(move => move.service === service);
	}

	listStartedBefore(timeMs: number): readonly PlannedMove[] {
		return this.#moves.filter(({startedMs}) => startedMs < timeMs);
	}

	add(moves: readonly PlannedMove[]): void {
		this.#moves = [...this.#moves, ...moves];
	}

	remove(moves: readonly PlannedMove[]): void {
		this.#moves = this.#moves.filter(move => !moves.includes(move));
	}

	/** Records that the present moves are still in progress at `nowMs`. */
	recordTime(nowMs: number): void {
		for (const {service} of this.#moves) {
			this.#lastMs.set(service, nowMs);
		}
	}

	/** Returns when a move of a service was last in progress. */
	getLastMs(service: string): number {
		return this.#lastMs.get(service) ?? Number.NEGATIVE_INFINITY;
	}
}
