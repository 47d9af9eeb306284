import type {QueryOutcome} from '@buckthornpoint/guard/outcome-query.js';
import type {MemberDirectory} from './member-directory.js';
import type {PeerCalls} from './peer-client.js';

/** Creates the function with which a guard queries the earlier owner of a partition for an outcome. */
export function createQueryOutcome(peers: PeerCalls, directory: MemberDirectory): QueryOutcome {
	return async (node, query, signal) => {
		const peerOrigin = directory.findPeerOrigin(node);
		const report = peerOrigin === undefined ? undefined : await peers.findOutcome(peerOrigin, query, signal);
		return report ?? {state: 'unknown'};
	};
}
