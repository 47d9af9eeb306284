import {RunObserver, type RunEnd, type StandInRun} from '@buckthornpoint/fleet-stand-in/run-observer.js';
import {keyCount, type HeldKeys, type HeldRange} from '@buckthornpoint/fleet-stand-in/held-keys.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Disruptions} from './disruptions.js';
import {checkDrain} from './check-drain.js';
import {checkRequest} from './check-request.js';
import {SharedHolds} from './shared-holds.js';
import type {
	RecordedRun, RequestEnd, RequestRecord, SentRequest, Violation,
} from './requests.js';

/** A backend server whose runs and holds are recorded. */
export type ObservedBackend = {
	readonly id: string;
	readonly service: string;
	/** Number of the local node. */
	readonly node: number;
	readonly held: HeldKeys;
};

/** Records the requests of callers and their runs at backend servers, and finds the guarantees that were violated. */
export class Ledger extends RunObserver {
	readonly #clock: Clock;
	readonly #records = new Map<string, RequestRecord>();
	readonly #runs = new Map<StandInRun, RecordedRun>();
	readonly #backends = new Map<string, ObservedBackend>();
	readonly #highestFences = new Map<string, Map<string, Float64Array>>();
	/** For each key and pair of overlapping holds: the servers that started a run during the overlap. */
	readonly #overlaps = new Map<string, Set<string>>();
	readonly #violations: Violation[] = [];
	/** When the announcement of each leaving backend server was acknowledged. */
	readonly #leftAtMs = new Map<string, number>();
	readonly #sharedHolds = new SharedHolds();

	constructor(clock: Clock) {
		super();
		this.#clock = clock;
	}

	addBackend(backend: ObservedBackend): void {
		this.#backends.set(backend.id, backend);
	}

	addRequest(request: SentRequest): void {
		this.#records.set(request.id, {request, runs: []});
	}

	recordRequestEnd(requestId: string, end: RequestEnd): void {
		this.#records.get(requestId)!.end = end;
	}

	addViolation(violation: Violation): void {
		this.#violations.push(violation);
	}

	/** Records that the announcement of a backend server to leave was acknowledged. */
	recordLeave(backendId: string, atMs: number): void {
		this.#leftAtMs.set(backendId, atMs);
	}

	/** Checks which backend servers hold the same keys now. To be called often. */
	checkSharedHolds(): void {
		this.#sharedHolds.record([...this.#backends.values()], this.#clock.readTimestamp().monotonicMs);
	}

	/** Lists the requests that were started at or after a point in time. */
	listSince(fromMs: number): readonly RequestRecord[] {
		return [...this.#records.values()].filter(({request}) => request.startMs >= fromMs);
	}

	/** Returns the record of a request. */
	findRequest(requestId: string): RequestRecord | undefined {
		return this.#records.get(requestId);
	}

	/** Lists all violated guarantees. Call it after the last request ended. */
	listViolations(disruptions: readonly Disruptions[]): readonly Violation[] {
		const records = [...this.#records.values()];
		return [
			...this.#violations,
			...this.#sharedHolds.listViolations(disruptions),
			...records.flatMap(record => [...checkRequest(record, disruptions), ...checkDrain(record, this.#leftAtMs, disruptions)]),
		]
			.toSorted((a, b) => a.atMs - b.atMs);
	}

	override recordRunStart(run: StandInRun): void {
		const recorded: RecordedRun = {run, node: this.#backends.get(run.backendId)!.node};
		this.#runs.set(run, recorded);
		const record = this.#records.get(run.requestId);
		if (record === undefined) {
			this.addViolation({
				rule: 'changed-request', atMs: run.begunMs, requestId: run.requestId, message: 'no caller sent a request with this id',
			});
		}

		record?.runs.push(recorded);
		this.#checkOwner(run);
	}

	override recordRunEnd(run: StandInRun, end: RunEnd): void {
		this.#runs.get(run)!.end = end;
		this.#runs.delete(run);
	}

	override recordAcquiredRanges(backendId: string, rows: readonly HeldRange[]): void {
		const backend = this.#backends.get(backendId)!;
		const atMs = this.#clock.readTimestamp().monotonicMs;
		for (const {from, to, fence} of rows) {
			for (const other of this.#listOthers(backend)) {
				if (this.#getFences(other).subarray(from, to + 1).some(highest => highest >= fence)) {
					this.addViolation({rule: 'fence', atMs, message: `${backendId} acquired keys ${from} to ${to} with fence ${fence}, ${other.id} had them with one as high`});
				}

				if (other.held.hasWork(from, to)) {
					this.addViolation({rule: 'owner', atMs, message: `${backendId} acquired keys ${from} to ${to} while ${other.id} works on them`});
				}
			}

			const fences = this.#getFences(backend);
			for (let key = from; key <= to; key++) {
				fences[key] = Math.max(fences[key]!, fence);
			}
		}
	}

	/** Two servers that hold a key at the same time must not both start runs on it. */
	#checkOwner({key, hold, backendId, begunMs, requestId}: StandInRun): void {
		if (key === undefined || hold === undefined) {
			return;
		}

		for (const other of this.#listOthers(this.#backends.get(backendId)!)) {
			const otherHold = other.held.getHold(key, begunMs);
			if (otherHold !== undefined) {
				const pair = [`${backendId}@${hold.sinceMs}`, `${other.id}@${otherHold.sinceMs}`].toSorted().join(' ');
				const overlapName = `${key} ${pair}`;
				const backendsWithRuns = this.#overlaps.get(overlapName) ?? new Set();
				this.#overlaps.set(overlapName, backendsWithRuns.add(backendId));
				if (backendsWithRuns.size > 1) {
					this.addViolation({
						rule: 'owner', atMs: begunMs, requestId, message: `${backendId} and ${other.id} both hold key ${key} and began requests on it`,
					});
				}
			}
		}
	}

	#listOthers({id, service}: ObservedBackend): readonly ObservedBackend[] {
		return [...this.#backends.values()].filter(other => other.id !== id && other.service === service);
	}

	#getFences({id, service}: ObservedBackend): Float64Array {
		const byBackend = this.#highestFences.get(service) ?? new Map<string, Float64Array>();
		this.#highestFences.set(service, byBackend);
		const fences = byBackend.get(id) ?? new Float64Array(keyCount);
		byBackend.set(id, fences);
		return fences;
	}
}
