import type {RoutesFetch} from '@buckthornpoint/cell-link/routes-fetch.js';
import type {RoutesTask} from '@buckthornpoint/cell-link/routes-task.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {HeartbeatReply} from '@buckthornpoint/key-ranges/messages.js';
import type {PeerLinks} from '@buckthornpoint/peers/peer-links.js';
import {applyEvacuation, type OperatorChangeOpts} from './apply-operator-change.js';
import type {BackendWatch} from './backend-watch.js';
import type {NodeAccountLimits} from './node-account-limits.js';

/** Components that the controller's replies are applied to. */
export type ControllerRepliesOpts = OperatorChangeOpts & {
	readonly watch: BackendWatch;
	readonly links: PeerLinks;
	readonly accounts: Pick<NodeAccountLimits, 'applyReply'>;
	readonly routes: Pick<RoutesTask, 'refresh' | 'addRetained'>;
	readonly fetch: Pick<RoutesFetch, 'request'>;
};

/** Applies the controller's heartbeat replies to this node. */
export class ControllerReplies {
	readonly #opts: ControllerRepliesOpts;
	#wasStoreReachable = true;
	/** The latest version of the routes that the controller had before this node. */
	#missingVersion = 0;

	constructor(opts: ControllerRepliesOpts) {
		this.#opts = opts;
	}

	/** Applies the reply to a heartbeat that was sent at `sentMs` and reported the backend server instance `backend`. */
	apply(reply: HeartbeatReply, sentMs: number, backend: BackendInstanceKey | undefined): void {
		const {watch, view, log, links, routes, accounts} = this.#opts;
		if (reply.epoch < watch.member.epoch) {
			// A late reply of an earlier controller.
			return;
		}

		if (watch.applyReply(reply, sentMs, backend)) {
			log.write({
				event: 'ranges-assigned', epoch: reply.epoch, version: reply.assignmentVersion, ranges: watch.member.listAssigned().length,
			});
		}

		accounts.applyReply(reply, sentMs);
		for (const message of view.applyReply(reply)) {
			log.write({event: 'internal-error', message});
		}

		if (reply.directory !== undefined && (reply.isDirectoryComplete || reply.directoryRemoved !== undefined)) {
			links.removeOthers(view.listAddresses());
		}

		if (reply.isStoreReached && !this.#wasStoreReachable) {
			routes.refresh();
		}

		this.#wasStoreReachable = reply.isStoreReached;
		this.#applyOrders(reply);
	}

	/** Applies evacuation orders that this node lacks, and requests routes that it lacks. */
	#applyOrders({evacuation, routesVersion, retainedEvacuations}: HeartbeatReply): void {
		if (evacuation !== undefined) {
			applyEvacuation(evacuation, this.#opts);
		}

		this.#opts.routes.addRetained(retainedEvacuations ?? []);
		if (routesVersion !== undefined) {
			this.#reportMissing(routesVersion);
			this.#opts.fetch.request(routesVersion);
		}
	}

	/** Reports once for each version that the controller has routes which are not in force here. */
	#reportMissing(version: number): void {
		const versionInForce = this.#opts.view.routeTable?.version ?? 0;
		if (version > versionInForce && version > this.#missingVersion) {
			this.#missingVersion = version;
			this.#opts.log.write({event: 'routes-behind', version, versionInForce});
		}
	}
}
