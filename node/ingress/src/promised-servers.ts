import {isReturnOf} from '@buckthornpoint/admission/retry-promises.js';
import type {Outcome} from '@buckthornpoint/backend-link/outcome.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {RoutedRequest} from './routing.js';

type PromisedReturn = {readonly kind: string; readonly firstMs: number; readonly dueMs: number; readonly server: BackendInstanceKey};

/** How long after its time a return is still expected, as at the server itself. */
const graceMs = 150;

/**
 * The servers that promised retry times to callers of this node. A return is offered to its server first: the others have
 * set nothing aside for it. A caller that returns through another node is offered to any server.
 */
export class PromisedServers {
	#returns: readonly PromisedReturn[] = [];

	/** Records the final outcome of a request. */
	record({route, ageMs}: Pick<RoutedRequest, 'route' | 'ageMs'>, outcome: Outcome, {arrivedMs, nowMs}: {readonly arrivedMs: number; readonly nowMs: number}): void {
		if (outcome.kind === 'not-run' && outcome.promisedBy !== undefined && ageMs !== undefined) {
			this.#returns = [
				...this.#returns.filter(({dueMs}) => dueMs + graceMs >= nowMs),
				{
					kind: route, firstMs: arrivedMs - ageMs, dueMs: nowMs + outcome.retryAfterMs, server: outcome.promisedBy,
				},
			];
		}
	}

	/** Returns the server that promised a retry time to the caller of a request, and forgets the promise; undefined if there is none. */
	consume({route, ageMs}: Pick<RoutedRequest, 'route' | 'ageMs'>, nowMs: number): BackendInstanceKey | undefined {
		if (ageMs === undefined) {
			return undefined;
		}

		const holder = {kind: route, firstMs: nowMs - ageMs};
		const matches = this.#returns.filter(each => each.dueMs + graceMs >= nowMs && isReturnOf(each, holder, nowMs));
		const found = matches.toSorted((left, right) => Math.abs(left.dueMs - nowMs) - Math.abs(right.dueMs - nowMs))[0];
		this.#returns = this.#returns.filter(each => each !== found);
		return found?.server;
	}
}
