import type {FleetView} from '@buckthornpoint/ingress/fleet-view.js';
import type {MemberHeartbeat} from '@buckthornpoint/key-ranges/messages.js';
import type {BackendWatch} from './backend-watch.js';
import type {NodeAccountLimits} from './node-account-limits.js';
import type {MeshSettings} from './settings.js';

/** Sources of the data in a heartbeat. */
export type HeartbeatParts = {
	readonly settings: MeshSettings;
	readonly view: FleetView;
	readonly watch: BackendWatch;
	readonly accounts: Pick<NodeAccountLimits, 'createReport'>;
	readonly incarnation: string;
	readonly isStopping: boolean;
};

/** Creates a heartbeat to the controller: the state of the node and of the local backend server. */
export function createHeartbeat({
	settings, view, watch, accounts, incarnation, isStopping,
}: HeartbeatParts): MemberHeartbeat {
	const backend = watch.createReport();
	const accountLoads = accounts.createReport(watch.member.epoch);
	const leaving = watch.listLeavingInstances();
	return {
		vmId: settings.vmId,
		incarnation,
		address: settings.listen.peers,
		failureDomain: settings.failureDomain,
		service: watch.getLocalService(),
		epoch: watch.member.epoch,
		isStopping,
		routesVersion: view.routeTable?.version ?? 0,
		ordersVersion: view.getEvacuation().version,
		ordersEra: view.getEvacuation().era,
		directoryVersion: view.directoryVersion,
		mapVersions: view.listMapVersions(),
		...(backend !== undefined && {backend}),
		ended: watch.listEndedInstances(),
		...(leaving.length > 0 && {leaving}),
		...(accountLoads !== undefined && {accountLoads}),
	};
}
