import type {Clock} from '@buckthornpoint/clock/clock.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';
import {HttpTableStore} from '@buckthornpoint/table-store/http-table-store.js';
import type {Policy} from './process-messages.js';
import {VmProcess} from './vm-process.js';
import {cellName, configuration} from './workload.js';

const failureDomainCount = 3;
const unlimitedPerSecond = 1_000_000;

/** Simulated VMs of one cell, as processes on loopback, with a stand-in for the table service. */
export class Cluster {
	readonly tableService: TableService;
	readonly vms: readonly VmProcess[];
	readonly #store: HttpTableStore;

	constructor(tableService: TableService, store: HttpTableStore, vms: readonly VmProcess[]) {
		this.tableService = tableService;
		this.vms = vms;
		this.#store = store;
	}

	/** Returns the VM whose node holds the controller lease according to the store. */
	async findController(): Promise<VmProcess | undefined> {
		const row = await this.#store.readRow(`leases/${cellName}`);
		const lease = row.unwrapOr(undefined)?.value as {readonly controller: {readonly vmId: string}} | undefined; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		return this.vms.find(({vmId}) => vmId === lease?.controller.vmId);
	}

	/** Kills all processes and closes the table service. */
	async close(): Promise<void> {
		await Promise.all(this.vms.map(async vm => vm.close()));
		await this.#store.close();
		await this.tableService.close();
	}
}

/** Starts a cell of the given size; the VMs are assigned to three failure domains round-robin. */
export async function startCluster(size: number, policy: Policy, clock: Clock): Promise<Cluster> {
	const tableService = new TableService(clock);
	tableService.setFaults({maxReadsPerSecond: unlimitedPerSecond, maxWritesPerSecond: unlimitedPerSecond});
	const tableStore = await tableService.open();
	const store = new HttpTableStore(tableStore);
	await store.commitTransaction({writeId: 'setup', conditions: [], writes: [{key: 'configuration', value: configuration}]});
	const vms = Array.from({length: size}, (_, index) => new VmProcess({
		vmId: `vm-${String(index + 1).padStart(2, '0')}`,
		cell: cellName,
		failureDomain: `fd-${(index % failureDomainCount) + 1}`,
		caller: {host: '127.0.0.1', port: 0},
		peer: {host: '127.0.0.1', port: 0},
		tableStore,
		objectStore: tableStore,
		operatorKey: 'operator-key-of-a-measurement',
		log: {level: 'error', reporter: 'silent'},
	}));
	await Promise.all(vms.map(async vm => vm.open(policy)));
	return new Cluster(tableService, store, vms);
}
