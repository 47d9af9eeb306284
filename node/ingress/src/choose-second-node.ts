import type {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';
import type {AdvertisedStates} from './advertised-states.js';
import {chooseNode} from './choose-node.js';
import type {FleetView} from './fleet-view.js';
import type {NodeStatisticsTable} from './node-statistics.js';

/** What a node knows about the servers that a second try could be sent to. */
export type SecondNodeSources = {
	readonly ownAddress: string;
	readonly view: FleetView;
	readonly gate: Pick<BackendGate, 'readLoad' | 'readLimitPerS'>;
	readonly links: {readonly get: (address: string) => {readonly isDown: () => boolean}};
	readonly statistics: NodeStatisticsTable;
	readonly advertisedStates: AdvertisedStates;
	readonly random: RandomSource;
};

/** The first try of a request. */
export type FirstNode = {
	readonly service: string;
	/** Addresses of the nodes that the request was sent to, including the first try in flight. */
	readonly triedAddresses: ReadonlySet<string>;
	readonly failureDomain: string;
};

/**
 * Chooses the node for a second try: one with spare capacity as far as is known. Unlike for a first try, there is no fallback
 * to servers that may refuse it. Nodes of other failure domains are preferred, since servers of one domain may be slow together.
 */
export function chooseSecondNode({service, triedAddresses, failureDomain}: FirstNode, sources: SecondNodeSources, nowMs: number): DirectoryEntry | undefined {
	const {view, statistics, advertisedStates, random} = sources;
	const isUsable = (entry: DirectoryEntry): boolean => !triedAddresses.has(entry.address) && entry.backend?.isCold !== true
		&& !view.isEvacuated(entry.failureDomain) && !advertisedStates.isLeaving(entry)
		&& !statistics.isLimited(entry.address, nowMs) && advertisedStates.get(entry.address, nowMs)?.limitPerS === undefined
		&& (entry.address === sources.ownAddress ? hasOwnCapacity(sources) : isPeerAvailable(entry, sources, nowMs));
	const all = view.listNodes(service);
	const others = all.filter(entry => entry.failureDomain !== failureDomain);
	for (const nodes of [others, all]) {
		const chosen = chooseNode(nodes, nodes, {random, isUsable, estimateMs: entry => statistics.estimateMs(entry, nowMs)});
		if (chosen !== undefined) {
			return chosen;
		}
	}

	return undefined;
}

function hasOwnCapacity({gate}: SecondNodeSources): boolean {
	const {outstanding, slots} = gate.readLoad();
	return outstanding < slots && gate.readLimitPerS() === undefined;
}

function isPeerAvailable(entry: DirectoryEntry, {statistics, links}: SecondNodeSources, nowMs: number): boolean {
	return !statistics.isUnreachable(entry.address, nowMs) && !statistics.isFull(entry, nowMs) && !links.get(entry.address).isDown();
}
