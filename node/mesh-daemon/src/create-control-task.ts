import type {ClientAccount} from '@buckthornpoint/accounts/client-account.js';
import {ControlTask} from '@buckthornpoint/cell-link/control-task.js';
import type {NodeNotice} from '@buckthornpoint/cell-link/member-task.js';
import type {RoutesFetch} from '@buckthornpoint/cell-link/routes-fetch.js';
import type {RoutesTask} from '@buckthornpoint/cell-link/routes-task.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {FleetStore} from '@buckthornpoint/fleet/fleet-store.js';
import type {FleetView} from '@buckthornpoint/ingress/fleet-view.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {PeerLinks} from '@buckthornpoint/peers/peer-links.js';
import type {BackendWatch} from './backend-watch.js';
import {logControlEvent} from './log-decisions.js';
import type {MeshSettings} from './settings.js';
import type {MeshTimeouts} from './timeouts.js';

/** Always the same list: a change of it is a change of the accounts. */
const noAccounts: readonly ClientAccount[] = [];

/** Components that the control task of a node works with. */
export type ControlTaskParts = {
	readonly settings: MeshSettings;
	readonly timeouts: MeshTimeouts;
	readonly incarnation: string;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly store: FleetStore;
	readonly view: FleetView;
	readonly watch: BackendWatch;
	readonly links: PeerLinks;
	/** The tasks that follow the operator's rows. They are created after the control task. */
	readonly getRoutes: () => {readonly task: RoutesTask; readonly fetch: RoutesFetch};
};

/** Creates the control task of a node. */
export function createControlTask({
	settings, timeouts, incarnation, clock, random, log, store, view, watch, links, getRoutes,
}: ControlTaskParts): ControlTask {
	const {vmId, listen: {peers: address}} = settings;
	return new ControlTask({
		identity: {vmId, incarnation, address},
		store,
		clock,
		random,
		times: timeouts.controller,
		getEpoch: () => watch.member.epoch,
		getRules: () => view.getOwnershipRules(),
		getAccounts: () => view.routeTable?.accounts ?? noAccounts,
		getRoutesVersion: () => view.routeTable?.version ?? 0,
		onLaterRoutes(version, source) {
			getRoutes().fetch.request(version, source);
		},
		getEvacuation: () => view.getEvacuation(),
		listRetainedEvacuations: () => getRoutes().task.listRetained(),
		getInitialState: () => view.getControllerInitialState(),
		requestHeartbeats(addresses) {
			links.notify(addresses, {} satisfies NodeNotice);
		},
		announceTakeover(epoch) {
			links.notify(view.listPeers(address), {controller: {address, epoch}} satisfies NodeNotice);
		},
		onLeaves(leaves) {
			watch.recordLeaves(leaves?.filter(leave => leave.vmId === vmId));
		},
		onEvent(event) {
			logControlEvent(log, event);
			if (event.kind === 'store-regained') {
				getRoutes().task.refresh();
			}
		},
	});
}
