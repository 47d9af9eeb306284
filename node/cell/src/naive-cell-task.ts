import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import {hashText} from '@buckthornpoint/placement/partition-hash.js';
import type {TableStore} from '@buckthornpoint/table-store/table-store.js';
import {Published} from '@buckthornpoint/tasks/published.js';
import {emptyConfiguration, type Configuration} from '@buckthornpoint/types/configuration.js';
import {formatPartitionId, type CellId, type NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {
	BackendServer, CellMap, Member, RoutingTable, ServicePlacement,
} from '@buckthornpoint/types/membership.js';

const pollIntervalMs = 500;
const leaseMs = 3000;

/** What the cell task works with. */
export type CellTaskOpts = {
	readonly cell: CellId;
	readonly member: Member;
	readonly store: TableStore;
	readonly clock: Clock;
	readonly log: Log;
};

/** Keeps the node's place in its cell and publishes what the node may do and who owns what. */
export class CellTask {
	readonly ownership: Published<OwnershipView>;
	readonly routing = new Published<RoutingTable>({map: {version: 0, vmIds: [], placements: []}, members: []});
	readonly configuration = new Published<Configuration>(emptyConfiguration);
	readonly backendServer = new Published<BackendServer | undefined>(undefined);
	readonly #opts: CellTaskOpts;
	readonly #stopped = new AbortController();

	constructor(opts: CellTaskOpts) {
		this.#opts = opts;
		this.ownership = new Published<OwnershipView>({node: identify(opts.member), leaseEnd: undefined, grants: new Map()});
	}

	/** Takes part in the cell until the task is closed. */
	async run(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			await this.#register();
			await this.#refresh();
			await this.#opts.clock.sleep(pollIntervalMs, this.#stopped.signal);
		}
	}

	/** Takes note of the backend server beside the node. */
	announce(backendServer: BackendServer): void {
		const known = this.backendServer.read();
		if (known?.incarnation !== backendServer.incarnation || known.origin !== backendServer.origin) {
			this.#opts.log.write({event: 'backend-server-announced', ...backendServer});
			this.backendServer.publish(backendServer);
		}
	}

	/** Leaves the cell. */
	async close(): Promise<void> {
		this.#stopped.abort();
	}

	async #register(): Promise<void> {
		const key = `members/${this.#opts.cell}/${this.#opts.member.vmId}`;
		const known = await this.#opts.store.readRow(key);
		if (known.isErr()) {
			this.#opts.log.write({
				event: 'store-failed', operation: 'register', kind: known.error.kind, message: known.error.error.message,
			});
			return;
		}

		const written = await this.#opts.store.commitTransaction({
			writeId: `${this.#opts.member.incarnation}/${known.value?.version ?? 0}`,
			conditions: [{key, version: known.value?.version ?? 0}],
			writes: [{key, value: {...this.#opts.member, backendServer: this.backendServer.read()}}],
		});
		if (written.isErr()) {
			this.#opts.log.write({
				event: 'store-failed', operation: 'register', kind: written.error.kind, message: written.error.error.message,
			});
		}
	}

	async #refresh(): Promise<void> {
		const rows = await this.#opts.store.readRows(`members/${this.#opts.cell}/`);
		const configuration = await this.#opts.store.readRow('configuration');
		if (rows.isErr() || configuration.isErr()) {
			return;
		}

		const members = rows.value.map(row => row.value as Member); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		this.configuration.publish(configuration.value?.value as Configuration | undefined ?? emptyConfiguration); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		const map = createMap(members, this.configuration.read());
		this.routing.publish({map, members});
		this.ownership.publish(this.#createView(map));
	}

	#createView(map: CellMap): OwnershipView {
		const now = this.#opts.clock.readMoment();
		const self = identify(this.#opts.member);
		const partitions = map.placements.flatMap(placement => placement.owners.flatMap((owner, partition) =>
			map.vmIds[owner] === self.vmId ? [{service: placement.service, partition}] : []));
		return {
			node: self,
			leaseEnd: {monotonicMs: now.monotonicMs + leaseMs, wallMs: now.wallMs + leaseMs},
			grants: new Map(partitions.map(partition => [formatPartitionId(partition), {
				partition, fence: {epoch: 1, counter: map.version}, ownedSince: now, predecessor: undefined, releasing: false,
			}])),
		};
	}
}

function identify(member: Member): NodeIdentity {
	return {vmId: member.vmId, incarnation: member.incarnation};
}

function createMap(members: readonly Member[], configuration: Configuration): CellMap {
	const vmIds = members.map(({vmId}) => vmId);
	const placements = configuration.services.map(({name, partitionCount}): ServicePlacement => ({
		service: name,
		owners: Array.from({length: partitionCount}, (_, partition) => chooseOwner(members, name, partition)),
		exceptions: [],
	}));
	return {version: configuration.version, vmIds, placements};
}

function chooseOwner(members: readonly Member[], service: string, partition: number): number {
	let best = -1;
	let bestScore = -1;
	for (const [index, member] of members.entries()) {
		const score = hashText(`${member.vmId}/${service}/${partition}`);
		if (member.backendServer?.service === service && score > bestScore) {
			best = index;
			bestScore = score;
		}
	}

	return best;
}
