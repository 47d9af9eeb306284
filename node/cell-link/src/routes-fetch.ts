import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {decodePacked, encodePacked} from '@buckthornpoint/documents/packed-text.js';
import type {PeerLinks} from '@buckthornpoint/peers/peer-links.js';

/** The operator's document and its version. */
export type VersionedDocument = {readonly version: number; readonly document: string};

/** Requests the operator's document if it is newer than version `routesAfter`; `RoutesAnswer` is the answer. */
export type RoutesCall = {readonly routesAfter: number};
export type RoutesAnswer = {readonly packedRoutes?: string};

/** Dependencies of a `RoutesFetch`. */
export type RoutesFetchOpts = {
	readonly links: Pick<PeerLinks, 'call'>;
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Lists the addresses of the other nodes. */
	readonly listPeers: () => readonly string[];
	readonly getVersion: () => number;
	readonly apply: (document: string) => void;
	readonly onProblem: (problem: string) => void;
};

/** Timeout of a call to one node. A large document can take a second on a slow link. */
const answerTimeoutMs = 2000;

/** Delay before the next node is queried. */
const retryDelayMs = 100;

/** Maximum number of queries for one request. The next reply of the controller starts a new request. */
const maxQueries = 20;

/** Limit on the decompressed size of a document, far above the 64 KiB or so that a row of the platform's store can hold. */
const maxDocumentBytes = 16 * 1024 * 1024;

/**
 * Fetches the operator's document from a random node when the controller reports a newer version. If the controller sent
 * a large document to every node that cannot read it from the store, its network link would be saturated for seconds and
 * leases would expire.
 */
export class RoutesFetch {
	readonly #opts: RoutesFetchOpts;
	#wantedVersion = 0;
	/** A node that has the wanted version, if known. It is queried first. */
	#holder: string | undefined;
	#isRunning = false;
	#lastRun: Promise<void> = Promise.resolve();
	#isClosed = false;

	constructor(opts: RoutesFetchOpts) {
		this.#opts = opts;
	}

	/** Fetches a version, unless the node has it or a fetch is already running. `holder` is the address of a node that is known to have it. */
	request(version: number, holder?: string): void {
		this.#holder = version > this.#wantedVersion ? holder : this.#holder ?? holder;
		this.#wantedVersion = Math.max(this.#wantedVersion, version);
		if (!this.#isRunning && !this.#isDone()) {
			this.#isRunning = true;
			this.#lastRun = this.#run();
		}
	}

	/** Waits until the running fetch, if any, has got the version or given up. */
	async waitUntilDone(): Promise<void> {
		await this.#lastRun;
	}

	close(): void {
		this.#isClosed = true;
	}

	async #run(): Promise<void> {
		try {
			for (let queries = 0; queries < maxQueries && !this.#isDone(); queries++) {
				await this.#queryPeer();
				if (!this.#isDone()) {
					await this.#opts.clock.sleep(retryDelayMs);
				}
			}
		} catch (error) {
			this.#opts.onProblem(`the document was not applied: ${String(error)}`);
		} finally {
			this.#isRunning = false;
		}
	}

	async #queryPeer(): Promise<void> {
		const {links, random, listPeers, getVersion, apply, onProblem} = this.#opts;
		const peers = listPeers();
		const peer = this.#holder ?? (peers.length === 0 ? undefined : peers[random.generateIntegerBelow(peers.length)]);
		this.#holder = undefined;
		const answer = peer === undefined
			? undefined
			: await links.call(peer, {routesAfter: getVersion()} satisfies RoutesCall, answerTimeoutMs) as RoutesAnswer | undefined; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		if (answer?.packedRoutes !== undefined) {
			decodePacked(answer.packedRoutes, maxDocumentBytes).match(apply, onProblem);
		}
	}

	#isDone(): boolean {
		return this.#isClosed || this.#opts.getVersion() >= this.#wantedVersion;
	}
}

/** Answers other nodes that request the operator's document. Each version is compressed only once. */
export class RoutesSource {
	#version = 0;
	#packed = '';

	createAnswer({routesAfter}: RoutesCall, current: VersionedDocument | undefined): RoutesAnswer {
		if (current === undefined || current.version <= routesAfter) {
			return {};
		}

		if (current.version !== this.#version) {
			this.#version = current.version;
			this.#packed = encodePacked(current.document);
		}

		return {packedRoutes: this.#packed};
	}
}
