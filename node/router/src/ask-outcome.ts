import type {AskOutcome} from '@buckthornpoint/guard/outcome-question.js';
import type {Published} from '@buckthornpoint/tasks/published.js';
import {isSameNode} from '@buckthornpoint/types/identity.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';
import type {PeerLink} from './peer-client.js';

/** Creates the way by which a guard asks the earlier owner of a partition. */
export function createAskOutcome(peers: PeerLink, routing: Published<RoutingTable>): AskOutcome {
	return async (node, question, signal) => {
		const member = routing.read().members.find(candidate => isSameNode(candidate, node));
		const report = member === undefined ? undefined : await peers.findOutcome(member.peerOrigin, question, signal);
		return report ?? {state: 'unknown'};
	};
}
