import {formatBackendInstanceKey, type BackendInstanceKey, type KeyRange} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {BackendHeartbeat} from '@buckthornpoint/fleet/announcements.js';

/** State of the backend server instance that registered last. */
export type RegisteredBackend = {
	readonly key: BackendInstanceKey;
	readonly id: string;
	/** Start time of the instance in Unix milliseconds; 0 if the server does not report it. */
	readonly bornMs: number;
	/** Number of its latest heartbeat. */
	readonly sequence: number;
	readonly service: string;
	/** Number of requests that it runs at the same time. */
	readonly slots: number;
	readonly state: 'ready' | 'draining' | 'gone';
	/** When it started to leave, on the node's clock. */
	readonly leavingSinceMs: number | undefined;
	/** When it stops being cold, on the node's clock. A server that was just started is cold: it runs requests slowly and accepts few. */
	readonly coldUntilMs: number;
	readonly lastHeartbeatMs: number;
	/** Key ranges that it reported to hold. */
	readonly holds: readonly KeyRange[];
};

/** The result of a heartbeat. */
export type RegistrationResult
	= | {readonly kind: 'accepted'; readonly isNewInstance: boolean; readonly isStateChange: boolean}
		/** Out of order, or from an instance that has left or ended: acknowledged, and ignored but for an announcement that the server leaves. */
		| {readonly kind: 'outdated'; readonly reason: string; readonly isStateChange: boolean}
		/** Not from the local backend server, or for an unknown service. */
		| {readonly kind: 'refused'; readonly reason: string};

/** An announcement of a server instance that it leaves. */
export type Leave = {
	readonly id: string;
	/** Start time of the instance in Unix milliseconds; 0 if it is not known: then the instances that started before `leftAtMs` are meant. */
	readonly bornMs: number;
	/** When the announcement arrived, on the node's wall clock. */
	readonly leftAtMs: number;
};

/** When a leave call arrived that did not state which instance of the server left. */
type UnidentifiedLeave = {readonly leftAtMs: number; readonly sinceMs: number};

/** Inputs to the checks of a heartbeat. */
export type RegistrationOpts = {
	/** Host and port of the local backend server. */
	readonly address: string;
	readonly isKnownService: (service: string) => boolean;
};

/** Number of ended and of leaving instances that are remembered, so that their delayed heartbeats don't make them ready again. */
const maxRememberedInstances = 16;

/** Tracks the instances of the local backend server, based on its heartbeats and leave calls. */
export class BackendRegistration {
	readonly #opts: RegistrationOpts;
	#current: RegisteredBackend | undefined;
	#ended: readonly BackendInstanceKey[] = [];
	/** When each instance started to leave, on the node's clock. Negative infinity if an earlier node process received the leave call: the time is not known. */
	readonly #leavingSince = new Map<BackendInstanceKey, number>();
	/** Leave calls without a start time of servers that were not registered, by the server's id. */
	readonly #unidentifiedLeaves = new Map<string, UnidentifiedLeave>();

	constructor(opts: RegistrationOpts) {
		this.#opts = opts;
	}

	get current(): RegisteredBackend | undefined {
		return this.#current;
	}

	/** Instances that are proved to have ended, the latest last. */
	get ended(): readonly BackendInstanceKey[] {
		return this.#ended;
	}

	/** Instances that are known to be leaving, the latest last. */
	listLeaving(): readonly BackendInstanceKey[] {
		return [...this.#leavingSince.keys()];
	}

	handleHeartbeat(heartbeat: BackendHeartbeat, nowMs: number): RegistrationResult {
		const refusal = this.#checkOrigin(heartbeat);
		if (refusal !== undefined) {
			return {kind: 'refused', reason: refusal};
		}

		const key = formatBackendInstanceKey(heartbeat.id, heartbeat.bornMs);
		const outdated = this.#checkAge(heartbeat);
		if (outdated !== undefined) {
			const isNewlyLeaving = heartbeat.isDraining && this.recordLeavingInstances([key], nowMs);
			return {kind: 'outdated', reason: outdated, isStateChange: isNewlyLeaving};
		}

		const earlier = this.#current;
		const isNewInstance = earlier?.key !== key;
		if (isNewInstance && earlier !== undefined) {
			this.#addEnded(earlier.key);
		}

		this.#ended = this.#ended.filter(ended => ended !== key);
		if (heartbeat.isDraining) {
			this.#addLeaving(key, isNewInstance ? Number.NEGATIVE_INFINITY : nowMs);
		}

		this.#applyUnidentifiedLeave(heartbeat, key);
		const leavingSinceMs = this.#leavingSince.get(key);
		const state = leavingSinceMs === undefined ? 'ready' : 'draining';
		this.#current = {
			key,
			id: heartbeat.id,
			bornMs: heartbeat.bornMs,
			sequence: heartbeat.sequence,
			service: heartbeat.service,
			slots: heartbeat.slots,
			state,
			leavingSinceMs,
			coldUntilMs: nowMs + heartbeat.coldMs,
			lastHeartbeatMs: nowMs,
			holds: heartbeat.holds,
		};
		return {kind: 'accepted', isNewInstance, isStateChange: isNewInstance || earlier?.state !== state};
	}

	/** Handles a leave call. Returns the leaving instance as far as it is known, and whether it is the current one. */
	handleLeave({id, bornMs, leftAtMs}: Leave, nowMs: number): {readonly leave: Leave; readonly isCurrent: boolean} {
		const current = this.#current;
		if (current?.id === id && (bornMs === 0 || bornMs === current.bornMs)) {
			this.#addLeaving(current.key, nowMs);
			this.#current = {...current, state: 'gone', leavingSinceMs: this.#leavingSince.get(current.key)};
			return {leave: {id, bornMs: current.bornMs, leftAtMs}, isCurrent: true};
		}

		// An earlier node process may have registered the instance, and a delayed heartbeat of it may still arrive.
		const leave = {id, bornMs, leftAtMs};
		this.#addLeave(leave, nowMs);
		return {leave, isCurrent: false};
	}

	/** Records announcements that an earlier node process acknowledged. Returns whether the current instance turned from ready to draining. */
	recordLeaves(leaves: readonly Leave[]): boolean {
		for (const leave of leaves.toSorted((a, b) => a.leftAtMs - b.leftAtMs)) {
			this.#addLeave(leave, Number.NEGATIVE_INFINITY);
		}

		if (this.#current !== undefined) {
			this.#applyUnidentifiedLeave(this.#current, this.#current.key);
		}

		return this.recordLeavingInstances([], Number.NEGATIVE_INFINITY);
	}

	/** Records instances that started to leave at `sinceMs`, negative infinity if that is not known. Returns whether the current one turned from ready to draining. */
	recordLeavingInstances(keys: readonly BackendInstanceKey[], sinceMs: number): boolean {
		for (const key of keys) {
			this.#addLeaving(key, sinceMs);
		}

		const current = this.#current;
		const isNewlyLeaving = current?.state === 'ready' && this.#leavingSince.has(current.key);
		if (isNewlyLeaving) {
			this.#current = {...current, state: 'draining', leavingSinceMs: this.#leavingSince.get(current.key)};
		}

		return isNewlyLeaving;
	}

	/** Records how long the server stays cold. */
	recordCold(coldMs: number, nowMs: number): void {
		if (this.#current !== undefined) {
			this.#current = {...this.#current, coldUntilMs: nowMs + coldMs};
		}
	}

	/** Records that no process listens at the server's address any more. Returns the instance that ended. */
	recordGone(): BackendInstanceKey | undefined {
		const key = this.#current?.key;
		if (key !== undefined) {
			this.#addEnded(key);
			this.#current = undefined;
		}

		return key;
	}

	#checkOrigin({address, service}: BackendHeartbeat): string | undefined {
		if (address !== this.#opts.address) {
			return `it is of the server at ${address}`;
		}

		return this.#opts.isKnownService(service) ? undefined : `the service ${service} is not known`;
	}

	#checkAge({id, bornMs, sequence}: BackendHeartbeat): string | undefined {
		const current = this.#current;
		const key = formatBackendInstanceKey(id, bornMs);
		if (current === undefined) {
			return undefined;
		}

		if (current.key === key) {
			if (current.state === 'gone') {
				return 'the server instance has already left';
			}

			return sequence > current.sequence ? undefined : `heartbeat ${sequence} arrived after heartbeat ${current.sequence}`;
		}

		if (bornMs < current.bornMs) {
			return 'a newer instance of the server is registered';
		}

		return this.#ended.includes(key) ? 'the server instance has ended' : undefined;
	}

	#addLeave({id, bornMs, leftAtMs}: Leave, sinceMs: number): void {
		if (bornMs > 0) {
			this.#addLeaving(formatBackendInstanceKey(id, bornMs), sinceMs);
			return;
		}

		this.#unidentifiedLeaves.set(id, {leftAtMs, sinceMs});
		removeOldest(this.#unidentifiedLeaves);
	}

	#applyUnidentifiedLeave({id, bornMs}: Pick<BackendHeartbeat, 'id' | 'bornMs'>, key: BackendInstanceKey): void {
		const leave = this.#unidentifiedLeaves.get(id);
		if (leave !== undefined && bornMs <= leave.leftAtMs) {
			this.#addLeaving(key, leave.sinceMs);
		}
	}

	#addLeaving(key: BackendInstanceKey, sinceMs: number): void {
		if (!this.#leavingSince.has(key)) {
			this.#leavingSince.set(key, sinceMs);
		}

		removeOldest(this.#leavingSince);
	}

	#addEnded(key: BackendInstanceKey): void {
		this.#ended = [...this.#ended.filter(ended => ended !== key), key].slice(-maxRememberedInstances);
	}
}

function removeOldest(entries: Map<string, unknown>): void {
	for (const oldest of [...entries.keys()].slice(0, -maxRememberedInstances)) {
		entries.delete(oldest);
	}
}
