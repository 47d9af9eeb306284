import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import {frameTypes} from '@buckthornpoint/frames/frames.js';
import {PeerLink} from './peer-link.js';

/** How long after the time-out of a call its reply is still passed to `onLate`. */
const lateReplyMs = 4000;

/** Settings and callbacks shared by all links. */
export type PeerLinksOpts = {
	readonly clock: Clock;
	/** The memory for the bodies of answers; without a limit by default. */
	readonly memory?: BodyMemory;
	/** Id of this node process, unique among all node processes and restarts. */
	readonly name: string;
	readonly onUnreachable: (address: string, reason: string) => void;
	/** Called when a connection broke and is being replaced. */
	readonly onDisconnect: (address: string, reason: string) => void;
	/** Called with an error thrown by the handler of an answer. */
	readonly onProblem: (address: string, problem: string) => void;
};

/** The links of a node to other nodes, by address. */
export class PeerLinks {
	readonly #opts: PeerLinksOpts;
	readonly #links = new Map<string, PeerLink>();
	/** Number of links created so far. */
	#linkCount = 0;

	constructor(opts: PeerLinksOpts) {
		this.#opts = opts;
	}

	/** Returns the link to a node and creates it if there is none. */
	get(address: string): PeerLink {
		const existing = this.#links.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const link = new PeerLink({
			address,
			session: `${this.#opts.name}.${++this.#linkCount}`,
			clock: this.#opts.clock,
			...this.#opts.memory !== undefined && {memory: this.#opts.memory},
			onUnreachable: reason => {
				this.#opts.onUnreachable(address, reason);
			},
			onDisconnect: reason => {
				this.#opts.onDisconnect(address, reason);
			},
			onProblem: problem => {
				this.#opts.onProblem(address, problem);
			},
		});
		this.#links.set(address, link);
		return link;
	}

	/**
	 * Calls another node and returns its reply; undefined if none arrives before the time-out. A reply that arrives within some
	 * seconds after that goes to `onLate`, since a slow link may delay every reply.
	 */
	async call(address: string, meta: unknown, timeoutMs: number, onLate?: (answer: unknown) => void): Promise<unknown> {
		return new Promise(resolve => {
			const link = this.get(address);
			let isLate = false;
			let timer = this.#opts.clock.startTimer(timeoutMs, () => {
				isLate = true;
				resolve(undefined);
				timer = this.#opts.clock.startTimer(onLate === undefined ? 0 : lateReplyMs, () => {
					if (id !== undefined) {
						link.removeCall(id);
					}
				});
			});
			const id = link.call(frameTypes.call, meta, {
				waitsForReconnect: false,
				onAnswer(answer) {
					timer.close();
					if (isLate) {
						onLate?.(answer);
					} else {
						resolve(answer);
					}
				},
				onFailure() {
					timer.close();
					resolve(undefined);
				},
			});
		});
	}

	/** Sends other nodes a message that has no answer. */
	notify(addresses: readonly string[], notice: unknown): void {
		for (const address of addresses) {
			this.get(address).notify(frameTypes.notice, notice);
		}
	}

	/** Closes the links to nodes that are not among the given addresses, unless calls are pending on them. */
	removeOthers(addresses: ReadonlySet<string>): void {
		for (const [address, link] of this.#links) {
			if (!addresses.has(address) && !link.hasPendingCalls()) {
				link.close();
				this.#links.delete(address);
			}
		}
	}

	close(): void {
		for (const link of this.#links.values()) {
			link.close();
		}

		this.#links.clear();
	}
}
