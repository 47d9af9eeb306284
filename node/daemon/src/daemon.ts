import {randomUUID} from 'node:crypto';
import {CellTask} from '@buckthornpoint/cell/cell-task.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {createSystemRandom} from '@buckthornpoint/clock/system-random.js';
import {Guard} from '@buckthornpoint/guard/guard.js';
import type {Log} from '@buckthornpoint/log/log.js';
import {SilentMetrics} from '@buckthornpoint/metrics/metrics.js';
import {createAskOutcome} from '@buckthornpoint/router/ask-outcome.js';
import {createCallerApi} from '@buckthornpoint/router/caller-api.js';
import {PeerClient} from '@buckthornpoint/router/peer-client.js';
import {registerRequestCalls} from '@buckthornpoint/router/peer-service.js';
import {Router} from '@buckthornpoint/router/router.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import {HttpTableStore} from '@buckthornpoint/table-store/http-table-store.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {Hono} from 'hono';
import {createAnnouncementApi} from './announcement-api.js';
import {createRoutingApi} from './routing-api.js';
import {listenForHttp, listenForPeers} from './servers.js';

/** What a daemon is given besides its settings. */
export type DaemonOpts = {
	readonly clock: Clock;
	readonly log: Log;
};

/** A node that runs. */
export type Daemon = {
	readonly callerOrigin: string;
	readonly peerOrigin: string;
	/** Stops the node and gives up all that it holds. */
	close(): Promise<void>;
};

/** Starts a node. */
export async function startDaemon(settings: NodeSettings, opts: DaemonOpts): Promise<Daemon> {
	const app = new Hono();
	const peerServer = await listenForPeers(settings.peer);
	const callerServer = await listenForHttp(app, settings.caller);
	const member = createMember(settings, callerServer.port, peerServer.port);
	const store = new HttpTableStore(settings.tableStore);
	const cell = new CellTask({
		cell: settings.cell, member, store, clock: opts.clock, log: opts.log,
	});
	const peers = new PeerClient(opts.clock);
	const random = createSystemRandom();
	const metrics = new SilentMetrics();
	const guard = new Guard({
		clock: opts.clock,
		random,
		metrics,
		ownership: cell.ownership,
		backendServer: cell.backendServer,
		configuration: cell.configuration,
		askOutcome: createAskOutcome(peers, cell.routing),
		onDrained() {
			// The cell hands nothing over yet.
		},
	});
	const router = new Router({
		node: member, guard, peers, routing: cell.routing, configuration: cell.configuration, clock: opts.clock, random, metrics,
	});
	peerServer.serve(connectRouter => {
		registerRequestCalls(connectRouter, guard);
	});
	app.route('/', createAnnouncementApi(backendServer => {
		cell.announce(backendServer);
	}));
	app.route('/', createRoutingApi(cell.routing, cell.configuration));
	app.route('/', createCallerApi(router));
	const running = cell.run();
	opts.log.write({event: 'node-started', ...member});
	return {
		callerOrigin: member.callerOrigin,
		peerOrigin: member.peerOrigin,
		async close() {
			await cell.close();
			await running;
			await callerServer.close();
			await peerServer.close();
			router.close();
			await peers.close();
			await guard.close();
			await store.close();
			opts.log.write({event: 'node-stopped', vmId: member.vmId});
		},
	};
}

function createMember(settings: NodeSettings, callerPort: number, peerPort: number): Member {
	return {
		vmId: settings.vmId,
		incarnation: randomUUID(),
		failureDomain: settings.failureDomain,
		phase: 'active',
		callerOrigin: settings.advertised?.callerOrigin ?? `http://${settings.caller.host}:${callerPort}`,
		peerOrigin: settings.advertised?.peerOrigin ?? `http://${settings.peer.host}:${peerPort}`,
	};
}
