import type {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import type {ControlTask} from '@buckthornpoint/cell-link/control-task.js';
import type {RowStore} from '@buckthornpoint/fleet/row-store.js';
import type {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {CallerServer} from '@buckthornpoint/ingress/caller-server.js';
import type {FleetView} from '@buckthornpoint/ingress/fleet-view.js';
import type {BackendWatch} from './backend-watch.js';
import type {NodeAccountLimits} from './node-account-limits.js';
import {NodeMetrics} from './node-metrics.js';
import type {MeshSettings} from './settings.js';

/** Parts of a node that its metrics read. */
export type MetricParts = {
	readonly settings: MeshSettings;
	readonly gate: BackendGate;
	readonly memory: BodyMemory;
	readonly callers: Pick<CallerServer, 'acceptedConnections' | 'closedConnections'>;
	readonly control: Pick<ControlTask, 'isLeading'>;
	readonly view: FleetView;
	readonly watch: BackendWatch;
	readonly store: Pick<RowStore, 'era'>;
	readonly accounts: Pick<NodeAccountLimits, 'listStatus'>;
};

/** Creates the metrics of a node. */
export function createNodeMetrics({
	settings, gate, memory, callers, control, view, watch, store, accounts,
}: MetricParts): NodeMetrics {
	return new NodeMetrics({
		settings,
		watch,
		gate,
		budget: memory.budget,
		countAcceptedConnections: () => callers.acceptedConnections,
		countClosedConnections: () => callers.closedConnections,
		isController: () => control.isLeading,
		getRoutesVersion: () => view.routeTable?.version ?? 0,
		getStoreEra: () => store.era,
		hasAccount: name => view.accountIndex?.hasAccount(name) ?? false,
		listAccounts: () => accounts.listStatus(),
	});
}
