import {AdvertisedLimit} from '@buckthornpoint/admission/advertised-limit.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {ClassifiedResponse} from './classify-response.js';
import type {AdvertisedState} from './outcome.js';

/** Callbacks of an advertisement. */
export type ServerAdvertisementOpts = {
	/** Called when the limit starts, changes or ends. */
	readonly onLimitChange: (limitPerS: number | undefined, nowMs: number) => void;
	/** Called once, with the time of the first statement that the server is leaving. */
	readonly onLeaving: (key: BackendInstanceKey, sinceMs: number) => void;
};

/** What one backend server instance advertises in its answers: its request limit and whether it is leaving. */
export class ServerAdvertisement {
	readonly key: BackendInstanceKey;
	readonly #opts: ServerAdvertisementOpts;
	readonly #limit = new AdvertisedLimit();
	#leavingSinceMs: number | undefined;

	constructor(key: BackendInstanceKey, opts: ServerAdvertisementOpts) {
		this.key = key;
		this.#opts = opts;
	}

	/** Requests per second that the server accepts from all nodes together; undefined without a limit. */
	get limitPerS(): number | undefined {
		return this.#limit.perS;
	}

	/** Records an answer to a request that was sent at `sentMs`. */
	record({limitPerS, isLeaving}: Pick<ClassifiedResponse, 'limitPerS' | 'isLeaving'>, times: {readonly sentMs: number; readonly nowMs: number}): void {
		if (this.#limit.record(limitPerS, times)) {
			this.#opts.onLimitChange(limitPerS, times.nowMs);
		}

		if (isLeaving) {
			this.#recordLeaving(times.nowMs);
		}
	}

	/** Applies what another node knows of the server. A process that has just started has no answer yet that tells it. */
	applyPeerState({key, limitPerS, leavingForMs}: AdvertisedState, nowMs: number): void {
		if (key !== this.key) {
			return;
		}

		if (limitPerS !== undefined && this.#limit.applyPeerLimit(limitPerS)) {
			this.#opts.onLimitChange(limitPerS, nowMs);
		}

		if (leavingForMs !== undefined) {
			this.#recordLeaving(nowMs - leavingForMs);
		}
	}

	/** Returns the state to pass on; undefined if the server advertises nothing, or with `isRequired` if it has not answered yet. */
	read(nowMs: number, isRequired: boolean): AdvertisedState | undefined {
		const {perS, hasAnswer} = this.#limit;
		if (perS === undefined && this.#leavingSinceMs === undefined && !(isRequired && hasAnswer)) {
			return undefined;
		}

		return {
			key: this.key,
			...(perS !== undefined && {limitPerS: perS}),
			...(this.#leavingSinceMs !== undefined && {leavingForMs: Math.round(nowMs - this.#leavingSinceMs)}),
		};
	}

	#recordLeaving(sinceMs: number): void {
		if (this.#leavingSinceMs === undefined) {
			this.#leavingSinceMs = sinceMs;
			this.#opts.onLeaving(this.key, sinceMs);
		}
	}
}
