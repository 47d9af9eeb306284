import {formatBackendKey, type BackendKey, type KeyRange} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {BackendHeartbeat} from '@buckthornpoint/fleet/announcements.js';

/** What is known of the run of the backend server that announced itself last. */
export type RegisteredBackend = {
	readonly key: BackendKey;
	readonly id: string;
	readonly bornMs: number;
	readonly sequence: number;
	readonly service: string;
	readonly slots: number;
	readonly state: 'ready' | 'draining' | 'gone';
	/** Since when it leaves, on the node's clock. */
	readonly leavingSinceMs: number | undefined;
	/** Until when it is cold, on the node's clock. */
	readonly coldUntilMs: number;
	readonly heardMs: number;
	readonly holds: readonly KeyRange[];
};

/** What became of an announcement. */
export type RegistrationResult
	= | {readonly kind: 'accepted'; readonly isNewRun: boolean; readonly isStateChange: boolean}
		/** Late, or of a run that is over: acknowledged, but nothing follows from it. */
		| {readonly kind: 'outdated'; readonly reason: string}
		/** Not of the server beside: it names no server to use. */
		| {readonly kind: 'refused'; readonly reason: string};

/** What a registration is checked against. */
export type RegistrationOpts = {
	/** Host and port of the server beside. */
	readonly address: string;
	readonly isKnownService: (service: string) => boolean;
};

/** Runs that ended or leave and are remembered, so that late heartbeats of theirs bring nothing back. */
const maxRemembered = 16;

/** Keeps track of the runs of the backend server beside, from its heartbeats and leave calls. */
export class BackendRegistration {
	readonly #opts: RegistrationOpts;
	#current: RegisteredBackend | undefined;
	#ended: readonly BackendKey[] = [];
	/** Runs that leave, with since when. What an earlier process of this node was told counts as long ago. */
	readonly #leaving = new Map<BackendKey, number>();

	constructor(opts: RegistrationOpts) {
		this.#opts = opts;
	}

	get current(): RegisteredBackend | undefined {
		return this.#current;
	}

	/** Runs that are proved to be over, latest last. */
	get ended(): readonly BackendKey[] {
		return this.#ended;
	}

	handleHeartbeat(heartbeat: BackendHeartbeat, nowMs: number): RegistrationResult {
		const refusal = this.#refuse(heartbeat);
		if (refusal !== undefined) {
			return {kind: 'refused', reason: refusal};
		}

		const outdated = this.#judgeAge(heartbeat);
		if (outdated !== undefined) {
			return {kind: 'outdated', reason: outdated};
		}

		const key = formatBackendKey(heartbeat.id, heartbeat.bornMs);
		const earlier = this.#current;
		const isNewRun = earlier?.key !== key;
		if (isNewRun && earlier !== undefined) {
			this.#noteEnded(earlier.key);
		}

		this.#ended = this.#ended.filter(ended => ended !== key);
		if (heartbeat.isDraining) {
			this.#noteLeaving(key, isNewRun ? Number.NEGATIVE_INFINITY : nowMs);
		}

		const leavingSinceMs = this.#leaving.get(key);
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
			heardMs: nowMs,
			holds: heartbeat.holds,
		};
		return {kind: 'accepted', isNewRun, isStateChange: isNewRun || earlier?.state !== state};
	}

	/** Takes note that a run leaves. Returns whether it was the current one. */
	handleLeave(id: string, bornMs: number, nowMs: number): boolean {
		const current = this.#current;
		const isCurrent = current?.id === id && (bornMs === 0 || bornMs === current.bornMs);
		if (isCurrent) {
			this.#noteLeaving(current.key, nowMs);
			this.#current = {...current, state: 'gone', leavingSinceMs: this.#leaving.get(current.key)};
		} else if (bornMs !== 0) {
			// An earlier process of this node may have known the run, and a late heartbeat of it may still come.
			this.#noteLeaving(formatBackendKey(id, bornMs), nowMs);
		}

		return isCurrent;
	}

	/** Takes note of runs of which an earlier process of this node was told that they leave. Returns whether the current one is new among them. */
	noteLeft(keys: readonly BackendKey[]): boolean {
		for (const key of keys) {
			this.#noteLeaving(key, Number.NEGATIVE_INFINITY);
		}

		const current = this.#current;
		const isNews = current?.state === 'ready' && this.#leaving.has(current.key);
		if (isNews) {
			this.#current = {...current, state: 'draining', leavingSinceMs: this.#leaving.get(current.key)};
		}

		return isNews;
	}

	/** Takes note that the server stays cold for so long. */
	noteCold(coldMs: number, nowMs: number): void {
		if (this.#current !== undefined) {
			this.#current = {...this.#current, coldUntilMs: nowMs + coldMs};
		}
	}

	/** Takes note that nobody listens at the server's address any more. Returns the run that ended. */
	noteGone(): BackendKey | undefined {
		const key = this.#current?.key;
		if (key !== undefined) {
			this.#noteEnded(key);
			this.#current = undefined;
		}

		return key;
	}

	#refuse({address, service}: BackendHeartbeat): string | undefined {
		if (address !== this.#opts.address) {
			return `it is of the server at ${address}`;
		}

		return this.#opts.isKnownService(service) ? undefined : `the service ${service} is not known`;
	}

	#judgeAge({id, bornMs, sequence}: BackendHeartbeat): string | undefined {
		const current = this.#current;
		const key = formatBackendKey(id, bornMs);
		if (current === undefined) {
			return undefined;
		}

		if (current.key === key) {
			if (current.state === 'gone') {
				return 'the server has left';
			}

			return sequence > current.sequence ? undefined : `heartbeat ${sequence} comes after ${current.sequence}`;
		}

		if (bornMs < current.bornMs) {
			return 'a later run of the server is known';
		}

		return this.#ended.includes(key) ? 'this run is over' : undefined;
	}

	#noteLeaving(key: BackendKey, sinceMs: number): void {
		if (!this.#leaving.has(key)) {
			this.#leaving.set(key, sinceMs);
		}

		for (const oldest of [...this.#leaving.keys()].slice(0, -maxRemembered)) {
			this.#leaving.delete(oldest);
		}
	}

	#noteEnded(key: BackendKey): void {
		this.#ended = [...this.#ended.filter(ended => ended !== key), key].slice(-maxRemembered);
	}
}
