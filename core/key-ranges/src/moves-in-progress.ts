import type {PlannedMove, ServiceView} from './controller-state.js';

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

/**
 * Lists the released moves. By rate, those beside a move to the same server that is not released yet are left out: granted in
 * one version of the map, adjacent ranges are joined.
 */
export function listCompleteMoves({moves, balance}: Pick<ServiceView, 'moves' | 'balance'>, isReleased: (move: PlannedMove) => boolean): readonly PlannedMove[] {
	const released = moves.filter(move => isReleased(move));
	if (balance !== 'by-rate') {
		return released;
	}

	const complete = new Set(released);
	const pending = new Set(moves.filter(move => !complete.has(move)).flatMap(({target, from, to}) => [`${target} ${from - 1}`, `${target} ${to + 1}`]));
	return released.filter(({target, from, to}) => !pending.has(`${target} ${from}`) && !pending.has(`${target} ${to}`));
}
