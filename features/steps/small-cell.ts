import {StandInBackendServer} from '@buckthornpoint/backend-server/backend-server.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {startDaemon, type Daemon} from '@buckthornpoint/daemon/daemon.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import {defaultTiming, type CellTiming} from '@buckthornpoint/ownership/timing.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';
import {HttpTableStore} from '@buckthornpoint/table-store/http-table-store.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';

const partitionCount = 16;
const slots = 18;
const announceIntervalMs = 50;

/** Leases that outlast scheduling stalls of a busy machine, so that a session ends the same way in every run. */
const longLeaseTiming: CellTiming = {
	...defaultTiming, authorityMs: 8000, promiseMs: 9000, leaseMs: 8000,
};

/** Shared operator key of all small cells. */
export const operatorKey = 'operator-key-of-this-session';

/** Options of a small cell. */
export type SmallCellOpts = {
	readonly size: number;
	/** Name of the only service, which is partitioned by key. */
	readonly service: string;
	/** Time that a backend server takes for a request. */
	readonly serviceTimeMs: number;
};

/** A VM of a small cell. */
export type SmallCellVm = {
	readonly vmId: string;
	readonly daemon: Daemon;
	readonly backendServer: StandInBackendServer;
};

/** A cell with one service on loopback: real nodes with stand-ins for the backend servers and the table service. */
export type SmallCell = {
	readonly vms: readonly SmallCellVm[];
	readonly tableService: TableService;
	/** Stops all backend servers, then all nodes, then the table service. */
	close(): Promise<void>;
};

/** Starts a small cell on free ports. It may not serve requests yet when the promise resolves. */
export async function startSmallCell(clock: Clock, opts: SmallCellOpts): Promise<SmallCell> {
	const tableService = new TableService(clock);
	const tableStore = await tableService.open();
	await writeConfiguration(tableStore, opts.service);
	const vmIds = Array.from({length: opts.size}, (_, index) => `vm-${index + 1}`);
	const vms = await Promise.all(vmIds.map(async vmId => startVm(clock, {...opts, vmId, tableStore})));
	return {
		vms,
		tableService,
		async close() {
			await Promise.all(vms.map(async ({backendServer}) => backendServer.close()));
			await Promise.all(vms.map(async ({daemon}) => daemon.close()));
			await tableService.close();
		},
	};
}

async function writeConfiguration(tableStore: string, service: string): Promise<void> {
	const configuration: Configuration = {
		version: 1,
		services: [{
			name: service, tenant: 'medoplech', divided: true, partitionCount, maxConnections: 110, coldConcurrency: 4, rules: [],
		}],
		failureDomains: [],
		stoppingVms: [],
		deadVms: [],
	};
	const store = new HttpTableStore(tableStore);
	await store.commitTransaction({writeId: 'setup', conditions: [], writes: [{key: 'configuration', value: configuration}]});
	await store.close();
}

type VmOpts = SmallCellOpts & {
	readonly vmId: string;
	readonly tableStore: string;
};

async function startVm(clock: Clock, opts: VmOpts): Promise<SmallCellVm> {
	const {vmId, service, tableStore, serviceTimeMs} = opts;
	const daemon = await startDaemon({
		vmId,
		cell: 'sk-east-1',
		failureDomain: 'fd-1',
		caller: {host: '127.0.0.1', port: 0},
		peer: {host: '127.0.0.1', port: 0},
		tableStore,
		objectStore: tableStore,
		operatorKey,
		log: {level: 'error', reporter: 'silent'},
	}, {clock, log: new SilentLog(), timing: longLeaseTiming});
	const backendServer = new StandInBackendServer(clock, {
		name: `${service}-${vmId}`, service, slots, checksFence: false, incarnation: `${vmId}/1`, nodeOrigin: daemon.callerOrigin, serviceTimeMs, announceIntervalMs,
	});
	await backendServer.open();
	return {vmId, daemon, backendServer};
}
