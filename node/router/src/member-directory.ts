import type {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';

const maxOrigins = 256;

/** Keeps the origins of nodes, including nodes that have recently left the routing table and may be queried for outcomes. */
export class MemberDirectory {
	/** Origins of the interface between nodes, by node identity, least recently listed first. */
	readonly #origins = new Map<string, string>();
	readonly #unsubscribe: () => void;

	constructor(routing: ObservableValue<RoutingTable>) {
		this.#record(routing.read());
		this.#unsubscribe = routing.subscribe(table => {
			this.#record(table);
		});
	}

	/** Returns the origin of a node instance; undefined if the instance was never listed or has been evicted. */
	findPeerOrigin(node: NodeIdentity): string | undefined {
		return this.#origins.get(formatNode(node));
	}

	/** Stops following the routing table. */
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
