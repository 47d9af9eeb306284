import type {Published} from '@buckthornpoint/tasks/published.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';

const maxRemembered = 256;

/** Remembers where nodes can be reached, also those that have left the routing table lately. */
export class MemberDirectory {
	/** Origins of the interface between nodes, by identity; the one heard of longest ago first. */
	readonly #origins = new Map<string, string>();
	readonly #unsubscribe: () => void;

	constructor(routing: Published<RoutingTable>) {
		this.#record(routing.read());
		this.#unsubscribe = routing.subscribe(table => {
			this.#record(table);
		});
	}

	/** Returns the origin of a run of a node; undefined for one that was never heard of, or long ago. */
	findPeerOrigin(node: NodeIdentity): string | undefined {
		return this.#origins.get(formatNode(node));
	}

	/** Hears of no more tables. */
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
			if (this.#origins.size <= Math.max(maxRemembered, members.length)) {
				return;
			}

			this.#origins.delete(key);
		}
	}
}

function formatNode({vmId, incarnation}: NodeIdentity): string {
	return `${vmId}/${incarnation}`;
}
