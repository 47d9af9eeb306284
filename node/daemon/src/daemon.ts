import {randomUUID} from 'node:crypto';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Log} from '@buckthornpoint/log/log.js';
import {SilentMetrics, type Metrics} from '@buckthornpoint/metrics/metrics.js';
import {defaultTiming, type CellTiming} from '@buckthornpoint/ownership/timing.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {Hono} from 'hono';
import {reportLoad} from './load-reports.js';
import {addRoutes, createNodeHandler} from './node-interfaces.js';
import {closeNodeComponents, createNodeComponents, type NodeComponents} from './node-components.js';
import {listenForHttp, listenForPeers} from './servers.js';

const drainGraceMs = 10_000;
/** After the handover of all partitions, the node answers outcome queries of the new owners for this time before it closes its servers. */
const outcomeQueryGraceMs = 2000;

/** Dependencies of a daemon. */
export type DaemonOpts = {
	readonly clock: Clock;
	readonly log: Log;
	/** By default no metrics are sent. */
	readonly metrics?: Metrics;
	/** Must be the same on all nodes of a cell; by default `defaultTiming`. */
	readonly timing?: CellTiming;
};

/** A running node. */
export type Daemon = {
	readonly callerOrigin: string;
	readonly peerOrigin: string;
	/** Planned stop: hands over the partitions of the node, finishes running requests, then closes. */
	stop(): Promise<void>;
	/** Stops at once, without handing over partitions. */
	close(): Promise<void>;
};

export async function startDaemon(settings: NodeSettings, opts: DaemonOpts): Promise<Daemon> {
	const {clock, log, metrics = new SilentMetrics(), timing = defaultTiming} = opts;
	const app = new Hono();
	const stopping = new AbortController();
	const peerServer = await listenForPeers(settings.peer);
	const callerServer = await listenForHttp(app, settings.caller);
	const member = createMember(settings, callerServer.port, peerServer.port);
	const components = createNodeComponents(settings, {
		member, clock, log, metrics, timing,
	});
	peerServer.serve(createNodeHandler(components));
	addRoutes(app, components, {
		clock, log, operatorKey: settings.operatorKey, stopping: stopping.signal,
	});
	const running = runTasks(components, clock);
	log.write({event: 'node-started', ...member});
	const close = async (): Promise<void> => {
		await running.close();
		await callerServer.close();
		await peerServer.close();
		await closeNodeComponents(components);
		log.write({event: 'node-stopped', vmId: member.vmId});
	};

	const stop = async (): Promise<void> => {
		log.write({event: 'node-stopping', vmId: member.vmId});
		stopping.abort();
		await components.cell.requestStop();
		await clock.sleep(outcomeQueryGraceMs);
		await Promise.all([callerServer.drain(clock, drainGraceMs), peerServer.drain(clock, drainGraceMs)]);
		await close();
	};

	return {
		callerOrigin: member.callerOrigin, peerOrigin: member.peerOrigin, stop, close,
	};
}

type RunningTasks = {
	close(): Promise<void>;
};

/** Runs the cell task and periodically passes it the load measured by the guard. */
function runTasks({cell, guard}: NodeComponents, clock: Clock): RunningTasks {
	const closed = new AbortController();
	const reporting = reportLoad(clock, {
		measure: () => guard.measureLoad(),
		record(load) {
			cell.recordLoad(load);
		},
	}, closed.signal);
	const running = cell.run();
	return {
		async close() {
			closed.abort();
			await cell.close();
			await Promise.all([running, reporting]);
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
