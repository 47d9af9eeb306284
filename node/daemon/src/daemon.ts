import {randomUUID} from 'node:crypto';
import {registerCellCalls} from '@buckthornpoint/cell/cell-calls.js';
import {CellTask} from '@buckthornpoint/cell/cell-task.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {createSystemRandom} from '@buckthornpoint/clock/system-random.js';
import {Guard} from '@buckthornpoint/guard/guard.js';
import type {Log} from '@buckthornpoint/log/log.js';
import {SilentMetrics, type Metrics} from '@buckthornpoint/metrics/metrics.js';
import {createCellMachine} from '@buckthornpoint/ownership/create-cell-machine.js';
import {defaultTiming, type CellTiming} from '@buckthornpoint/ownership/timing.js';
import {createOperatorApi} from '@buckthornpoint/operator-api/operator-api.js';
import {createAskOutcome} from '@buckthornpoint/router/ask-outcome.js';
import {createCallerApi} from '@buckthornpoint/router/caller-api.js';
import {PeerClient} from '@buckthornpoint/router/peer-client.js';
import {registerRequestCalls} from '@buckthornpoint/router/peer-service.js';
import {Router} from '@buckthornpoint/router/router.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import {HttpTableStore} from '@buckthornpoint/table-store/http-table-store.js';
import {emptyConfiguration} from '@buckthornpoint/types/configuration.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {Hono} from 'hono';
import {createAnnouncementApi} from './announcement-api.js';
import {BackendServerWatch} from './backend-server-watch.js';
import {reportLoad} from './load-reports.js';
import {createRoutingApi} from './routing-api.js';
import {createConnectionClosing} from './connection-closing.js';
import {listenForHttp, listenForPeers} from './servers.js';

const drainGraceMs = 10_000;

/** What a daemon is given besides its settings. */
export type DaemonOpts = {
	readonly clock: Clock;
	readonly log: Log;
	/** By default no values are sent. */
	readonly metrics?: Metrics;
	/** The same on all nodes of a cell; by default `defaultTiming`. */
	readonly timing?: CellTiming;
};

/** A node that runs. */
export type Daemon = {
	readonly callerOrigin: string;
	readonly peerOrigin: string;
	/** Stops as planned: hands over what the node owns, finishes what runs, then closes. */
	stop(): Promise<void>;
	/** Stops at once and gives up all that the node holds. */
	close(): Promise<void>;
};

/** Starts a node. */
export async function startDaemon(settings: NodeSettings, opts: DaemonOpts): Promise<Daemon> {
	const {clock, log, metrics = new SilentMetrics()} = opts;
	const app = new Hono();
	const stopping = new AbortController();
	const peerServer = await listenForPeers(settings.peer);
	const callerServer = await listenForHttp(app, settings.caller);
	const member = createMember(settings, callerServer.port, peerServer.port);
	const store = new HttpTableStore(settings.tableStore);
	const random = createSystemRandom();
	const timing = opts.timing ?? defaultTiming;
	const cell = new CellTask({
		cell: settings.cell,
		member,
		store,
		clock,
		random,
		log,
		metrics,
		timing,
		machine: createCellMachine({
			cell: settings.cell, member, timing, configuration: emptyConfiguration,
		}),
	});
	const peers = new PeerClient(clock);
	const guard = new Guard({
		clock,
		random,
		metrics,
		ownership: cell.ownership,
		backendServer: cell.backendServer,
		configuration: cell.configuration,
		askOutcome: createAskOutcome(peers, cell.routing),
		onDrained(partition) {
			cell.noteDrained(partition);
		},
	});
	const router = new Router({
		node: member, guard, peers, routing: cell.routing, configuration: cell.configuration, clock, random, metrics,
	});
	peerServer.serve(connectRouter => {
		registerRequestCalls(connectRouter, guard);
		registerCellCalls(connectRouter, cell);
	});
	const watch = new BackendServerWatch(clock, {
		announce(backendServer) {
			cell.announce(backendServer);
		},
		noteSilence() {
			cell.noteSilence();
		},
	});
	app.use(createConnectionClosing(stopping.signal));
	app.route('/', createAnnouncementApi(backendServer => {
		watch.record(backendServer);
	}));
	app.route('/', createOperatorApi({
		operatorKey: settings.operatorKey,
		store,
		clock,
		log,
		configuration: cell.configuration,
		routing: cell.routing,
		ownership: cell.ownership,
		readStatus: () => cell.readStatus(),
		learnConfiguration(configuration) {
			cell.learnConfiguration(configuration);
		},
	}));
	app.route('/', createRoutingApi(cell.routing, cell.configuration));
	app.route('/', createCallerApi(router));
	const closed = new AbortController();
	const reporting = reportLoad(clock, {
		measure: () => guard.measureLoad(),
		note(load) {
			cell.noteLoad(load);
		},
	}, closed.signal);
	const running = cell.run();
	log.write({event: 'node-started', ...member});
	const close = async () => {
		watch.close();
		closed.abort();
		await cell.close();
		await Promise.all([running, reporting]);
		await callerServer.close();
		await peerServer.close();
		router.close();
		await peers.close();
		await guard.close();
		await store.close();
		log.write({event: 'node-stopped', vmId: member.vmId});
	};

	const stop = async () => {
		log.write({event: 'node-stopping', vmId: member.vmId});
		stopping.abort();
		await cell.requestStop();
		await Promise.all([callerServer.drain(clock, drainGraceMs), peerServer.drain(clock, drainGraceMs)]);
		await close();
	};

	return {
		callerOrigin: member.callerOrigin, peerOrigin: member.peerOrigin, stop, close,
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
