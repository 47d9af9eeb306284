import type {AdvertisedState} from '@buckthornpoint/backend-link/outcome.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';

export type AdvertisedStatesOpts = {
	/** How long requests are still sent to a server after it stated that it is leaving. */
	readonly leavingSendMs: number;
};

type KnownState = Omit<AdvertisedState, 'leavingForMs'> & {readonly leavingSinceMs: number | undefined};

/**
 * What backend servers advertised in the answers that this node passed on, by the address of their node. The node beside a
 * server enforces it for all nodes, but forgets it when it restarts. So each node sends it along with its requests, and stops
 * sending to a server that leaves on its own.
 */
export class AdvertisedStates {
	readonly #opts: AdvertisedStatesOpts;
	readonly #byAddress = new Map<string, KnownState>();

	constructor(opts: AdvertisedStatesOpts) {
		this.#opts = opts;
	}

	/** Records the state in an answer of a node; undefined if it had none. */
	record(address: string, state: AdvertisedState | undefined, nowMs: number): void {
		if (state === undefined) {
			return;
		}

		const {leavingForMs, ...rest} = state;
		const known = this.#byAddress.get(address);
		const knownSinceMs = known?.key === state.key ? known.leavingSinceMs : undefined;
		const leavingSinceMs = knownSinceMs ?? (leavingForMs === undefined ? undefined : nowMs - leavingForMs);
		if (leavingSinceMs === undefined && state.limitPerS === undefined) {
			this.#byAddress.delete(address);
		} else {
			this.#byAddress.set(address, {...rest, leavingSinceMs});
		}
	}

	/** Returns what to send along with a request to a node; undefined if its server advertised nothing. */
	get(address: string, nowMs: number): AdvertisedState | undefined {
		const known = this.#byAddress.get(address);
		if (known === undefined) {
			return undefined;
		}

		const {leavingSinceMs, ...rest} = known;
		return {...rest, ...(leavingSinceMs !== undefined && {leavingForMs: nowMs - leavingSinceMs})};
	}

	/** Whether the server of a node stated that it is leaving. */
	isLeaving(entry: DirectoryEntry): boolean {
		return this.#findLeavingSinceMs(entry) !== undefined;
	}

	/** Whether a server stated so long ago that it is leaving that it must get no more requests. */
	hasLeft(entry: DirectoryEntry, nowMs: number): boolean {
		const leavingSinceMs = this.#findLeavingSinceMs(entry);
		return leavingSinceMs !== undefined && nowMs >= leavingSinceMs + this.#opts.leavingSendMs;
	}

	#findLeavingSinceMs({address, backend}: DirectoryEntry): number | undefined {
		const known = this.#byAddress.get(address);
		return known === undefined || known.key !== backend?.key ? undefined : known.leavingSinceMs;
	}
}
