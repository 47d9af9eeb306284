import type {KindWait} from '@buckthornpoint/admission/slot-request.js';
import {createNotRun, type Outcome} from '@buckthornpoint/backend-link/outcome.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';
import {isRetryAge} from './attempt-ages.js';

/** A request as far as the decision depends on it. */
export type WaitingCaller = {
	readonly route: string;
	readonly ageMs?: number;
	readonly targetEndMs: number;
	readonly lateEndMs: number;
	readonly endMs: number;
};

type Report = {readonly waits: ReadonlyMap<string, KindWait>; readonly receivedMs: number};

/** How long a report is believed. A queue empties within the latency targets, 200 to 300 ms; after that it says little. */
const reportValidityMs = 250;

/** Callers wait at most this part of the time that they have left. */
const maxWaitShare = 1 / 3;

/** Added to that for a retry time without a promise, which must not look like one that the caller honours. */
const unpromisedMarginMs = 50;

/**
 * What the nodes beside the servers reported last about the waits at them, for services whose capacity is shared. An entry
 * node refuses a first attempt that no server can serve in time or promise a retry time to, instead of offering it to one
 * server after the other. A server without a recent report is never taken for full.
 */
export class FullServers {
	readonly #reportByAddress = new Map<string, Report>();

	/** Records the waits in an answer of a node; undefined if its server's capacity is not shared. */
	record(address: string, waits: readonly KindWait[] | undefined, nowMs: number): void {
		if (waits === undefined) {
			this.#reportByAddress.delete(address);
		} else {
			this.#reportByAddress.set(address, {waits: new Map(waits.map(wait => [wait.kind, wait])), receivedMs: nowMs});
		}
	}

	/** Returns the refusal of a request if all servers that could run it are known to be full, with the earliest time at which one may have capacity. */
	createRefusal(request: WaitingCaller, servers: readonly DirectoryEntry[], nowMs: number): Outcome | undefined {
		// A caller that comes back may hold a promise, which only the node beside the server knows.
		if (isRetryAge(request.ageMs ?? 0, request.endMs - nowMs) || servers.length === 0) {
			return undefined;
		}

		let earliestMs = Number.POSITIVE_INFINITY;
		for (const {address} of servers) {
			const freeMs = this.#findFreeMs(address, request, nowMs);
			if (freeMs === undefined) {
				return undefined;
			}

			earliestMs = Math.min(earliestMs, freeMs);
		}

		const honouredMs = nowMs + ((request.endMs - nowMs) * maxWaitShare);
		return createNotRun('overloaded', Math.max(earliestMs, honouredMs + unpromisedMarginMs) - nowMs);
	}

	/** Returns when a full server may have capacity for the request; undefined if it is not known to be full. */
	#findFreeMs(address: string, {route, targetEndMs, lateEndMs, endMs}: WaitingCaller, nowMs: number): number | undefined {
		const report = this.#reportByAddress.get(address);
		const wait = report?.waits.get(route);
		if (report === undefined || wait === undefined || nowMs - report.receivedMs > reportValidityMs) {
			return undefined;
		}

		const canAnswer = report.receivedMs + wait.answerMs <= Math.min(endMs, Math.max(targetEndMs, lateEndMs));
		const promiseMs = report.receivedMs + wait.retryAfterMs;
		const canPromise = promiseMs <= Math.min(nowMs + ((endMs - nowMs) * maxWaitShare), targetEndMs - wait.serviceMs);
		// Comparisons with a number that is not finite are false: such a report is not believed.
		return canAnswer || canPromise || !Number.isFinite(promiseMs + wait.answerMs) ? undefined : promiseMs;
	}
}
