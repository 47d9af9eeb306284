import {CellTask} from '@buckthornpoint/cell/cell-task.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {createSystemRandom} from '@buckthornpoint/clock/system-random.js';
import {Guard} from '@buckthornpoint/guard/guard.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {Metrics} from '@buckthornpoint/metrics/metrics.js';
import {createCellMachine} from '@buckthornpoint/ownership/create-cell-machine.js';
import type {CellTiming} from '@buckthornpoint/ownership/timing.js';
import {createQueryOutcome} from '@buckthornpoint/router/query-outcome.js';
import {MemberDirectory} from '@buckthornpoint/router/member-directory.js';
import {PeerClient} from '@buckthornpoint/router/peer-client.js';
import {Router} from '@buckthornpoint/router/router.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import {HttpTableStore} from '@buckthornpoint/table-store/http-table-store.js';
import type {TableStore} from '@buckthornpoint/table-store/table-store.js';
import {emptyConfiguration} from '@buckthornpoint/types/configuration.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {BackendServerWatch} from './backend-server-watch.js';

/** Dependencies shared by the components of a node. */
export type NodeComponentOpts = {
	readonly member: Member;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly timing: CellTiming;
};

/** The components of a node, each with its own state and sockets. */
export type NodeComponents = {
	readonly store: TableStore;
	readonly cell: CellTask;
	readonly peers: PeerClient;
	readonly directory: MemberDirectory;
	readonly guard: Guard;
	readonly router: Router;
	readonly watch: BackendServerWatch;
};

/** Creates the components of a node and connects them, without starting any task. */
export function createNodeComponents(settings: NodeSettings, opts: NodeComponentOpts): NodeComponents {
	const {member, clock, metrics} = opts;
	const random = createSystemRandom();
	const store = new HttpTableStore(settings.tableStore);
	const machine = createCellMachine({
		cell: settings.cell, member, timing: opts.timing, configuration: emptyConfiguration,
	});
	const cell = new CellTask({
		...opts, cell: settings.cell, store, random, machine,
	});
	const {ownership, backendServer, configuration, routing} = cell;
	const peers = new PeerClient(clock);
	const directory = new MemberDirectory(routing);
	const guard = new Guard({
		clock,
		random,
		metrics,
		ownership,
		backendServer,
		configuration,
		queryOutcome: createQueryOutcome(peers, directory),
		onDrained(partition) {
			cell.recordDrained(partition);
		},
	});
	const router = new Router({
		node: member, guard, peers, routing, configuration, clock, random, metrics,
	});
	return {
		store, cell, peers, directory, guard, router, watch: new BackendServerWatch(clock, cell),
	};
}

/** Releases the resources of the components. The cell task must have been closed before. */
export async function closeNodeComponents({watch, directory, router, peers, guard, store}: NodeComponents): Promise<void> {
	watch.close();
	directory.close();
	router.close();
	await peers.close();
	await guard.close();
	await store.close();
}
