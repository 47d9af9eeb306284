import type {QueryOutcome} from '@buckthornpoint/guard/outcome-query.js';
import type {MemberDirectory} from './member-directory.js';
import type {PeerLink} from './peer-client.js';

/** Creates the way by which a guard asks the earlier owner of a partition. */
export function createAskOutcome(peers: PeerLink, directory: MemberDirectory): QueryOutcome {
	return async (node, question, signal) => {
		const peerOrigin = directory.findPeerOrigin(node);
		const report = peerOrigin === undefined ? undefined : await peers.findOutcome(peerOrigin, question, signal);
		return report ?? {state: 'unknown'};
	};
}
