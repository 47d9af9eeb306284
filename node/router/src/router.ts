import type {Guard} from '@buckthornpoint/guard/guard.js';
import type {Published} from '@buckthornpoint/tasks/published.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import {createNotRun, type RequestResult} from '@buckthornpoint/types/requests.js';
import {parseRequest, type CallerRequest, type ParsedRequest} from './parse-request.js';
import type {PeerClient} from './peer-client.js';

/** What a router works with. */
export type RouterOpts = {
	readonly node: NodeIdentity;
	readonly guard: Guard;
	readonly peers: PeerClient;
	readonly routing: Published<RoutingTable>;
	readonly configuration: Published<Configuration>;
};

/** Sends callers' requests to the owner's node. */
export class Router {
	readonly #opts: RouterOpts;

	constructor(opts: RouterOpts) {
		this.#opts = opts;
	}

	/** Routes one request and returns its whole answer or a typed failure. */
	async route(request: CallerRequest, signal: AbortSignal): Promise<RequestResult> {
		const parsed = parseRequest(request, this.#opts.configuration.read());
		if (parsed.isErr()) {
			return parsed.error;
		}

		const owner = this.#findOwner(parsed.value);
		if (owner === undefined) {
			return createNotRun(parsed.value.requestId, 'no-owner', 'no VM owns the partition at present');
		}

		const routed = {...parsed.value, target: {vmId: owner.vmId, incarnation: owner.incarnation}};
		return owner.vmId === this.#opts.node.vmId
			? this.#opts.guard.handle(routed, signal)
			: this.#opts.peers.forward(owner.peerOrigin, routed, signal);
	}

	#findOwner(parsed: ParsedRequest): Member | undefined {
		const {map, members} = this.#opts.routing.read();
		const index = map.placements.find(({service}) => service === parsed.service)?.owners[parsed.partition] ?? -1;
		const vmId = map.vmIds[index];
		return members.find(member => member.vmId === vmId);
	}
}
