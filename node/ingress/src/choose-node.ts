import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';

/** Inputs to the choice of a node. */
export type ChooseNodeOpts = {
	/** Estimates the response time of the backend server of a node, without network transit. */
	readonly estimateMs: (entry: DirectoryEntry) => number;
	readonly isUsable: (entry: DirectoryEntry) => boolean;
	readonly random: RandomSource;
};

/** Number of random candidates that are compared: from this node's own failure domain, and from all failure domains. */
const ownDomainCandidates = 2;
const anyDomainCandidates = 1;

/**
 * A server of another failure domain is chosen only if its estimate is below this share of the best one in the own domain,
 * to save traffic between failure domains.
 */
const crossDomainFactor = 0.8;

/** Round-trip time to another failure domain. */
const crossDomainRoundTripMs = 4;

/** Random picks per compared candidate: some of the picked nodes are not usable or were picked before. */
const picksPerCandidate = 4;

/**
 * Chooses a node for a request that any server of the service can run: the one with the lowest estimate among a few random
 * candidates, so that the cost is independent of the fleet size and entry nodes don't all choose the same one. Nodes of the
 * own failure domain are preferred unless clearly slower. Overload is not handled here: the servers' queues refuse requests.
 */
export function chooseNode(all: readonly DirectoryEntry[], ownDomain: readonly DirectoryEntry[], opts: ChooseNodeOpts): DirectoryEntry | undefined {
	const bestInDomain = chooseBest(pickUsable(ownDomain, ownDomainCandidates, opts), opts);
	const best = chooseBest(pickUsable(all, anyDomainCandidates, opts), opts);
	if (bestInDomain === undefined || best === undefined) {
		return bestInDomain ?? best ?? chooseBest(all.filter(entry => opts.isUsable(entry)), opts);
	}

	return opts.estimateMs(best) + crossDomainRoundTripMs < opts.estimateMs(bestInDomain) * crossDomainFactor ? best : bestInDomain;
}

/** Picks up to `count` distinct usable nodes at random. */
function pickUsable(nodes: readonly DirectoryEntry[], count: number, {isUsable, random}: ChooseNodeOpts): readonly DirectoryEntry[] {
	const picked = new Set<DirectoryEntry>();
	for (let picks = 0; picks < count * picksPerCandidate && picked.size < Math.min(count, nodes.length); picks++) {
		const candidate = nodes[random.generateIntegerBelow(nodes.length)]!;
		if (isUsable(candidate)) {
			picked.add(candidate);
		}
	}

	return [...picked];
}

function chooseBest(candidates: readonly DirectoryEntry[], {estimateMs}: ChooseNodeOpts): DirectoryEntry | undefined {
	let best: DirectoryEntry | undefined;
	let bestMs = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const candidateMs = estimateMs(candidate);
		if (candidateMs < bestMs) {
			best = candidate;
			bestMs = candidateMs;
		}
	}

	return best;
}
