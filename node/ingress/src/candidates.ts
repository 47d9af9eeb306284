import {createNotRun, type Outcome} from '@buckthornpoint/backend-link/outcome.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';
import {chooseNode} from './choose-node.js';
import {chooseSecondNode, type SecondNodeSources} from './choose-second-node.js';

/** What a node knows about the servers that a request could be sent to. */
export type CandidateSources = SecondNodeSources & {
	readonly failureDomain: string;
	readonly random: RandomSource;
};

/** The part of a request that decides which servers can run it. */
export type CandidateRequest = {
	readonly service: string;
	readonly key: number | undefined;
	readonly isDivided: boolean;
};

/** Retry-After if no server of the service is known. */
const noNodeRetryAfterMs = 500;

/** Retry-After for a key without an owner and for a request that could not be sent to another node. */
export const noOwnerRetryAfterMs = 400;

/** The nodes that one request can be sent to, given those that it was already sent to. */
export class Candidates {
	readonly #request: CandidateRequest;
	readonly #sources: CandidateSources;
	readonly #promisedServer: BackendInstanceKey | undefined;
	readonly #triedAddresses = new Set<string>();
	/** Tried nodes that had no free slot. */
	readonly #fullAddresses = new Set<string>();

	/** `promisedServer` is the server that promised the caller a retry time; undefined if none did. */
	constructor(request: CandidateRequest, sources: CandidateSources, promisedServer: BackendInstanceKey | undefined) {
		this.#request = request;
		this.#sources = sources;
		this.#promisedServer = promisedServer;
	}

	/** Whether a node had no free slot and was not tried again since. */
	get hasFull(): boolean {
		return this.#fullAddresses.size > 0;
	}

	recordTried(address: string): void {
		this.#triedAddresses.add(address);
		this.#fullAddresses.delete(address);
	}

	/** Records that a tried node had no free slot. */
	recordFull(address: string): void {
		this.#fullAddresses.add(address);
	}

	/** With `includeFull`, nodes that had no free slot when they were tried are candidates again; with `includeTriedOwner`, the owner of the key is. */
	choose(nowMs: number, {includeFull, includeTriedOwner}: {readonly includeFull: boolean; readonly includeTriedOwner: boolean}): DirectoryEntry | undefined {
		const {service, key, isDivided} = this.#request;
		if (isDivided && key !== undefined) {
			const owner = this.#sources.view.findOwner(service, key);
			return owner === undefined || this.#sources.advertisedStates.hasLeft(owner, nowMs) || (this.#triedAddresses.has(owner.address) && !includeTriedOwner) ? undefined : owner;
		}

		return this.#chooseLeastBusy(nowMs, includeFull);
	}

	/** Chooses the node for a second try while the first try is in flight at `first`. */
	chooseSecond(first: DirectoryEntry, nowMs: number): DirectoryEntry | undefined {
		return chooseSecondNode({service: this.#request.service, triedAddresses: this.#triedAddresses, failureDomain: first.failureDomain}, this.#sources, nowMs);
	}

	/** Creates the outcome of a request for which there is no candidate at all. */
	createNoCandidateOutcome(): Outcome {
		const {service, key, isDivided} = this.#request;
		if (!isDivided) {
			return createNotRun('no-node', noNodeRetryAfterMs);
		}

		const hasOwner = key !== undefined && this.#sources.view.findOwner(service, key) !== undefined;
		return createNotRun(hasOwner ? 'leaving' : 'no-owner', noOwnerRetryAfterMs);
	}

	#chooseLeastBusy(nowMs: number, includeFull: boolean): DirectoryEntry | undefined {
		const {
			view, statistics, advertisedStates, random, links, ownAddress, failureDomain,
		} = this.#sources;
		const promisedServer = this.#promisedServer;
		const {service} = this.#request;
		const isUntried = (entry: DirectoryEntry): boolean =>
			(!this.#triedAddresses.has(entry.address) || (includeFull && this.#fullAddresses.has(entry.address)))
			&& !view.isEvacuated(entry.failureDomain) && !advertisedStates.hasLeft(entry, nowMs);
		const isReachable = (entry: DirectoryEntry): boolean => isUntried(entry) && !advertisedStates.isLeaving(entry)
			&& (entry.address === ownAddress || (!statistics.isUnreachable(entry.address, nowMs) && !links.get(entry.address).isDown()));
		const isUnlimited = (entry: DirectoryEntry): boolean => !statistics.isLimited(entry.address, nowMs);
		const all = view.listNodes(service);
		const ownDomain = view.listNodes(service, failureDomain);
		// Without a better candidate, the request is sent to a node that was recently unreachable, or waits at a limited server.
		const preferences: ReadonlyArray<(entry: DirectoryEntry) => boolean> = [
			...promisedServer === undefined ? [] : [(entry: DirectoryEntry): boolean => entry.backend?.key === promisedServer && isReachable(entry)],
			entry => isReachable(entry) && isUnlimited(entry),
			...includeFull ? [isReachable, isUntried] : [(entry: DirectoryEntry): boolean => isUntried(entry) && isUnlimited(entry)],
		];
		for (const isUsable of preferences) {
			const chosen = chooseNode(all, ownDomain, {random, isUsable, estimateMs: entry => statistics.estimateMs(entry, nowMs)});
			if (chosen !== undefined) {
				return chosen;
			}
		}

		return undefined;
	}
}
