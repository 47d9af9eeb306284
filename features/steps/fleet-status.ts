import {createServer, type Server} from 'node:http';
import {
	After, Given, Then, When, type DataTable,
} from '@cucumber/cucumber';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import type {FinishedRequest} from '@buckthornpoint/ingress/finished-request.js';
import {NodeMetrics} from '@buckthornpoint/mesh-daemon/node-metrics.js';
import {checkGoldenFile} from './golden-file.js';
import {formatRecord, runOperatorCommand} from './operator-session.js';

type FleetNode = {
	readonly address: string;
	readonly metrics: NodeMetrics;
	readonly server: Server;
	readonly sharing: Record<'promised' | 'kept' | 'broken' | 'ended' | 'unclaimed' | 'displaced', number>;
};

const bodyLimitBytes = 11_200_000;
const routesVersion = 7;

const nodes = new Map<string, FleetNode>();
let records: string[] = [];

Given('these nodes of the fleet:', async (table: DataTable) => {
	for (const row of table.hashes()) {
		nodes.set(row.vm ?? '', await startNode(row));
	}
});

Given('requests that entered at {string} ended as follows:', (vm: string, table: DataTable) => {
	for (const row of table.hashes()) {
		for (let count = 0; count < Number(row.count); count++) {
			nodes.get(vm)?.metrics.recordFinished(createFinished(row));
		}
	}
});

Given('the server beside {string} promised {int} retry times, of which {int} were kept and {int} was broken', (vm: string, promised: number, kept: number, broken: number) => {
	Object.assign(nodes.get(vm)?.sharing ?? {}, {promised, kept, broken});
});

Given('{string} sent {int} second tries of service {string}, of which {int} were answered first', (vm: string, sent: number, service: string, won: number) => {
	for (let index = 0; index < sent; index++) {
		nodes.get(vm)?.metrics.recordSecondTry(service, 'sent');
		nodes.get(vm)?.metrics.recordSecondTry(service, index < won ? 'won' : 'cancelled');
	}
});

When('the node {string} stops', (vm: string) => {
	nodes.get(vm)?.server.close();
});

When('the operator asks the nodes of the fleet:', async (script: string) => {
	for (const line of script.split('\n').filter(text => text.startsWith('$ ')).map(text => text.slice(2))) {
		let command = line;
		for (const [vm, {address}] of nodes) {
			command = command.replaceAll(`<${vm}>`, address);
		}

		const record = await runOperatorCommand(command, {
			clock: new SystemClock(), nodes: [], operator: 'anna', files: new Map(),
		});
		records.push(replaceAddresses(formatRecord(line, record)));
	}
});

Then('the session with the fleet matches the golden file {string}', (name: string) => {
	checkGoldenFile(name, records.join('\n'));
});

After(() => {
	for (const {server} of nodes.values()) {
		server.close();
	}

	nodes.clear();
	records = [];
});

/** Starts the metrics interface of a node with the given state. */
async function startNode(row: Readonly<Record<string, string>>): Promise<FleetNode> {
	const read = (name: string): number => Number(row[name]);
	const sharing = {
		promised: 0, kept: 0, broken: 0, ended: 0, unclaimed: 0, displaced: 0,
	};
	const metrics = new NodeMetrics({
		settings: {vmId: row.vm ?? '', failureDomain: row['failure domain'] ?? ''},
		watch: {
			current: {id: `${row.vm}-server`, state: row.state === 'draining' ? 'draining' : 'ready'},
			getLocalService: () => row.service ?? '',
			member: {listAssigned: () => []},
		},
		gate: {
			readLoad: () => ({
				outstanding: read('running') + read('waiting'), slots: read('slots'), serviceMs: 82, slowness: 1, failureShare: 0,
			}),
			readDemand: () => read('offered/s') / read('capacity/s'),
			readCapacityPerS: () => read('capacity/s'),
			readOfferedRequestsPerSecond: () => read('offered/s'),
			readLimitPerS: () => row['limit/s'] === '' ? undefined : read('limit/s'),
			readSentRequestsPerSecond: () => read('offered/s'),
			readSharingCounts: () => sharing,
			countRunning: () => read('running'),
		},
		budget: {
			usedBytes: read('body bytes'), limitBytes: bodyLimitBytes, refusals: 0, evictions: 0,
		},
		countAcceptedConnections: () => 0, countClosedConnections: () => 0,
		isController: () => row.controller === 'yes',
		getRoutesVersion: () => routesVersion,
		getStoreEra: () => 1,
		hasAccount: () => false,
		listAccounts: () => [],
	});
	const server = createServer((_request, response) => {
		void metrics.createResponse().then(({status, body}) => response.writeHead(status).end(body));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const listening = server.address();
	const address = `127.0.0.1:${typeof listening === 'object' ? listening?.port : ''}`;
	return {
		address, metrics, server, sharing,
	};
}

function createFinished(row: Readonly<Record<string, string>>): FinishedRequest {
	return {
		requestId: undefined,
		route: undefined,
		service: row.service === '' ? undefined : row.service,
		key: undefined,
		priority: row.priority === '' ? undefined : Number(row.priority),
		status: Number(row.status),
		outcome: row.outcome as FinishedRequest['outcome'], // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		reason: row.reason ?? '',
		tries: [],
		tookMs: 100,
		routesVersion,
		retryAfterMs: undefined,
	};
}

/** Replaces ports, which differ between runs, by as many letters, so that the tables keep their widths. */
function replaceAddresses(text: string): string {
	return text.replaceAll(/(?<=127\.0\.0\.1:)\d+/gv, port => 'n'.repeat(port.length));
}
