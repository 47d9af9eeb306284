import type {OperatorChange} from '@buckthornpoint/cell-link/routes-task.js';
import {decodeRouteTable} from '@buckthornpoint/fleet/operator-rows.js';
import type {FleetView} from '@buckthornpoint/ingress/fleet-view.js';
import type {EvacuationOrders} from '@buckthornpoint/key-ranges/messages.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {RouteTable} from '@buckthornpoint/routes/routes.js';

/** Components that operator changes are applied to. */
export type OperatorChangeOpts = {
	readonly view: FleetView;
	readonly log: Log;
	/** Called after a change took effect. */
	readonly onApplied: () => void;
};

/** Applies a change of the operator's rows in the store to this node. */
export function applyOperatorChange(change: OperatorChange, opts: OperatorChangeOpts): void {
	const {view, log} = opts;
	switch (change.kind) {
		case 'routes': {
			applyRoutes(change, 'store', opts);
			break;
		}

		case 'evacuation': {
			if (view.setEvacuated(change.domain, change.isEvacuated, change.position)) {
				log.write({
					event: 'evacuation', failureDomains: [...view.getEvacuation().domains], version: change.position.version, from: 'store',
				});
				opts.onApplied();
			}

			break;
		}

		case 'caught-up': {
			view.recordOrdersPosition(change.position);
			break;
		}

		case 'invalid': {
			log.write({event: 'operator-row-invalid', message: change.problem});
			break;
		}

		case 'contradicted': {
			log.write({event: 'evacuation-contradicted', failureDomain: change.domain, isEvacuated: change.isEvacuated});
			break;
		}

		case 'ignored': {
			log.write({
				event: 'operator-row-ignored', key: change.key, version: change.version, appliedVersion: change.appliedVersion,
			});
			break;
		}

		case 'store-failed': {
			log.write({event: 'store-lost', by: 'routes', message: change.problem});
			break;
		}

		case 'store-regained': {
			log.write({event: 'store-regained', by: 'routes', awayMs: change.awayMs});
			break;
		}
	}
}

/** Applies routes, unless newer ones are in force. */
export function applyRoutes({table, document}: {readonly table: RouteTable; readonly document: string}, from: 'store' | 'peer', opts: OperatorChangeOpts): void {
	if (opts.view.setRoutes(table, document)) {
		opts.log.write({
			event: 'routes-in-force', version: table.version, routes: table.routes.length, accounts: table.accounts?.length ?? 0, from,
		});
		opts.onApplied();
	}
}

/** Decodes and applies an operator's document that was fetched from another node. */
export function applyDocument(document: string, opts: OperatorChangeOpts): void {
	decodeRouteTable(document).match(table => {
		applyRoutes({table, document}, 'peer', opts);
	}, message => {
		opts.log.write({event: 'operator-row-invalid', message});
	});
}

/** Applies evacuation orders that the controller sent, unless later ones are known. */
export function applyEvacuation(orders: EvacuationOrders, opts: OperatorChangeOpts): void {
	if (opts.view.applyEvacuation(orders)) {
		opts.log.write({
			event: 'evacuation', failureDomains: orders.domains, version: orders.version, from: 'controller',
		});
		opts.onApplied();
	}
}
