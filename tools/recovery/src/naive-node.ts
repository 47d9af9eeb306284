import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {findPartition, hashString} from '@buckthornpoint/placement/partition-hash.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import {HttpTableStore} from '@buckthornpoint/table-store/http-table-store.js';
import type {TableStore} from '@buckthornpoint/table-store/table-store.js';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';
import {keyHeader, partitionCount} from './workload.js';

const leaseMs = 3000;
const renewalIntervalMs = 1000;
const forwardTimeoutMs = 250;
const statusUnavailable = 503;

type NaiveLease = {
	readonly vmId: string;
	readonly origin: string;
	readonly expiresAtWallMs: number;
};

/** The baseline: every node renews its own lease row in the store, and owners are derived from the unexpired rows. */
class NaiveNode {
	readonly #vmId: string;
	readonly #clock: Clock;
	readonly #store: TableStore;
	#leases: readonly NaiveLease[] = [];
	#version = 0;

	constructor(settings: NodeSettings, clock: Clock) {
		this.#vmId = settings.vmId;
		this.#clock = clock;
		this.#store = new HttpTableStore(settings.tableStore);
	}

	/** Renews this node's lease and reads the leases of the other nodes, in an endless loop. */
	async run(origin: string): Promise<void> {
		while (true) {
			await this.#renew(origin);
			const rows = await this.#store.readRows('naive/');
			this.#leases = rows.map(known => known.map(({value}) => value as NaiveLease)).unwrapOr(this.#leases); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			await this.#clock.sleep(renewalIntervalMs);
		}
	}

	/** Answers a request itself if this node owns the key, otherwise forwards it to the owner. */
	async handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
		const key = String(incoming.headers[keyHeader]);
		const owner = this.#findOwner(findPartition(key, partitionCount));
		response.statusCode = owner === undefined ? statusUnavailable : await this.#forwardToOwner(owner, key);
		response.end();
	}

	async #forwardToOwner({vmId, origin}: NaiveLease, key: string): Promise<number> {
		if (vmId === this.#vmId) {
			return 200;
		}

		try {
			const answer = await sendRequest(origin, {headers: {[keyHeader]: key}, signal: AbortSignal.timeout(forwardTimeoutMs)});
			await answer.body.dump();
			return answer.statusCode;
		} catch {
			return statusUnavailable;
		}
	}

	#findOwner(partition: number): NaiveLease | undefined {
		const {wallMs} = this.#clock.readTimestamp();
		const live = this.#leases.filter(({expiresAtWallMs}) => expiresAtWallMs > wallMs);
		const [owner] = live.toSorted((left, right) => hashString(`${left.vmId}/${partition}`) - hashString(`${right.vmId}/${partition}`));
		return owner;
	}

	async #renew(origin: string): Promise<void> {
		const key = `naive/${this.#vmId}`;
		const lease: NaiveLease = {vmId: this.#vmId, origin, expiresAtWallMs: this.#clock.readTimestamp().wallMs + leaseMs};
		const written = await this.#store.commitTransaction({
			writeId: `${key}/${this.#version}`, conditions: [{key, version: this.#version}], writes: [{key, value: lease}],
		});
		if (written.isOk()) {
			this.#version++;
		} else if (written.error.kind !== 'unavailable') {
			const row = await this.#store.readRow(key);
			this.#version = row.map(known => known?.version ?? 0).unwrapOr(this.#version);
		}
	}
}

/** Starts a baseline node on any free port and returns its origin. */
export async function startNaiveNode(settings: NodeSettings, clock: Clock): Promise<string> {
	const node = new NaiveNode(settings, clock);
	const server = createServer((incoming, response) => {
		void node.handle(incoming, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const origin = `http://127.0.0.1:${port}`;
	void node.run(origin);
	return origin;
}
