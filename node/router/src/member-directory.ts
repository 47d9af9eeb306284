import type {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';

const maxOrigins = 256;

/** Keeps the peer origins of nodes, including nodes that have recently left the routing table and may be queried for outcomes. */
export class MemberDirectory {
	/** Peer origins by node identity. The node that was least recently in the routing table is first. */
	readonly #origins = new Map<string, string>();
	readonly #unsubscribe: () => void;

	constructor(routing: ObservableValue<RoutingTable>) {
		this.#record(routing.read());
		this.#unsubscribe = routing.subscribe(table => {
			this.#record(table);
		});
	}

	/** Returns the peer origin of a node instance; undefined if the instance was never in the routing table or has been evicted. */
	findPeerOrigin(node: NodeIdentity): string | undefined {
		return this.#origins.get(formatNode(node));
	}

	/** Unsubscribes from the routing table. */
	close(): void {
		this.#unsubscribe();
	}

	#record({members}: RoutingTable): void {
		for (const member of members) {
			const key = formatNode(member);
			this.#origins.delete(key);
			this.#origins.set(key, member.peerOrigin);
		}

		for (const key of this.#origins.keys()) {
			if (this.#origins.size <= Math.max(maxOrigins, members.length)) {
				return;
			}

			this.#origins.delete(key);
		}
	}
}

function formatNode({vmId, incarnation}: NodeIdentity): string {
	return `${vmId}/${incarnation}`;
}
