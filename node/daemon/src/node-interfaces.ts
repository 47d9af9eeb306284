import {connectNodeAdapter} from '@connectrpc/connect-node';
import {registerCellCalls} from '@buckthornpoint/cell/cell-calls.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Log} from '@buckthornpoint/log/log.js';
import {createOperatorApi} from '@buckthornpoint/operator-api/operator-api.js';
import {createCallerApi} from '@buckthornpoint/router/caller-api.js';
import {createPeerHandler, type PeerRequestHandler} from '@buckthornpoint/router/forward-handler.js';
import {registerOutcomeCalls} from '@buckthornpoint/router/peer-service.js';
import type {Hono} from 'hono';
import {createAnnouncementApi} from './announcement-api.js';
import {createConnectionClosing} from './connection-closing.js';
import type {NodeComponents} from './node-components.js';
import {createRoutingApi} from './routing-api.js';

/** Dependencies of the interface for callers, backend servers and operators, in addition to the components of the node. */
export type InterfaceOpts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly operatorKey: string;
	/** Aborted when a planned stop begins. */
	readonly stopping: AbortSignal;
};

/** Adds all routes of the interface for callers, backend servers and operators. The routes for callers are last, since they match every path. */
export function addRoutes(app: Hono, components: NodeComponents, opts: InterfaceOpts): void {
	const {cell, store, watch, router} = components;
	app.use(createConnectionClosing(opts.stopping));
	app.route('/', createAnnouncementApi(backendServer => {
		watch.record(backendServer);
	}));
	app.route('/', createOperatorApi({
		operatorKey: opts.operatorKey,
		store,
		clock: opts.clock,
		log: opts.log,
		configuration: cell.configuration,
		routing: cell.routing,
		ownership: cell.ownership,
		readStatus: () => cell.readStatus(),
		receiveConfiguration(configuration) {
			cell.receiveConfiguration(configuration);
		},
	}));
	app.route('/', createRoutingApi(cell.routing, cell.configuration));
	app.route('/', createCallerApi(router));
}

/** Creates the handler of calls between nodes. */
export function createNodeHandler({guard, cell}: NodeComponents): PeerRequestHandler {
	return createPeerHandler(guard, connectNodeAdapter({
		routes(connectRouter) {
			registerOutcomeCalls(connectRouter, guard);
			registerCellCalls(connectRouter, cell);
		},
	}));
}
