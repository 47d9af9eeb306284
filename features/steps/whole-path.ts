import assert from 'node:assert/strict';
import {
	After, Given, Then, When, setDefaultTimeout,
} from '@cucumber/cucumber';
import {StandInBackendServer} from '@buckthornpoint/backend-server/backend-server.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {startDaemon, type Daemon} from '@buckthornpoint/daemon/daemon.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';
import {HttpTableStore} from '@buckthornpoint/table-store/http-table-store.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';

type EchoAnswer = {
	readonly key: string;
	readonly server: string;
	readonly body: string;
};

const clock = new SystemClock();
const pollMs = 20;
const defaultTimeoutMs = 60_000;

type Cell = {
	readonly tableService: TableService;
	readonly daemons: readonly Daemon[];
	readonly backendServers: readonly StandInBackendServer[];
};

let cell: Cell | undefined;
let answers: readonly EchoAnswer[] = [];

setDefaultTimeout(defaultTimeoutMs);

Given('a cell of {int} VMs with the service {string} divided by key', async (size: number, service: string) => {
	const tableService = new TableService(clock);
	const tableStore = await tableService.open();
	await writeConfiguration(tableStore, service);
	const vmIds = Array.from({length: size}, (_, index) => `vm-${index + 1}`);
	const daemons = await Promise.all(vmIds.map(async vmId => startNode(vmId, tableStore)));
	const backendServers = await Promise.all(vmIds.map(async (vmId, index) => startBackendServer(vmId, service, daemons[index]?.callerOrigin ?? '')));
	cell = {tableService, daemons, backendServers};
});

When('a caller asks each node for the keys {string}', async (keys: string) => {
	const origins = cell?.daemons.map(({callerOrigin}) => callerOrigin) ?? [];
	const asked = keys.split(', ').flatMap(key => origins.map(async origin => askUntilAnswered(origin, key)));
	answers = await Promise.all(asked);
});

Then('each answer is the caller\'s own', () => {
	assert.ok(answers.length > 0);
	for (const {key, body} of answers) {
		assert.equal(body, `look up ${key}`);
	}
});

Then('each key was answered by one backend server', () => {
	const servers = new Map<string, Set<string>>();
	for (const {key, server} of answers) {
		servers.set(key, (servers.get(key) ?? new Set()).add(server));
	}

	assert.ok([...servers.values()].every(({size}) => size === 1));
});

After(async () => {
	await Promise.all(cell?.backendServers.map(async server => server.close()) ?? []);
	await Promise.all(cell?.daemons.map(async daemon => daemon.close()) ?? []);
	await cell?.tableService.close();
	cell = undefined;
});

async function writeConfiguration(tableStore: string, service: string): Promise<void> {
	const configuration: Configuration = {
		version: 1,
		services: [{
			name: service, tenant: 'medoplech', divided: true, partitionCount: 16, maxConnections: 110, coldConcurrency: 4, rules: [],
		}],
		failureDomains: [],
		stoppingVms: [],
		deadVms: [],
	};
	const store = new HttpTableStore(tableStore);
	await store.commitTransaction({writeId: 'setup', conditions: [], writes: [{key: 'configuration', value: configuration}]});
	await store.close();
}

async function startNode(vmId: string, tableStore: string): Promise<Daemon> {
	return startDaemon({
		vmId,
		cell: 'sk-east-1',
		failureDomain: 'fd-1',
		caller: {host: '127.0.0.1', port: 0},
		peer: {host: '127.0.0.1', port: 0},
		tableStore,
		objectStore: tableStore,
		operatorKey: 'operator-key-of-this-session',
		log: {level: 'error', reporter: 'silent'},
	}, {clock, log: new SilentLog()});
}

async function startBackendServer(vmId: string, service: string, nodeOrigin: string): Promise<StandInBackendServer> {
	const server = new StandInBackendServer(clock, {
		name: `${service}-${vmId}`, service, slots: 18, checksFence: false, incarnation: `${vmId}/1`, nodeOrigin, serviceTimeMs: 1, announceIntervalMs: 50,
	});
	await server.open();
	return server;
}

async function askUntilAnswered(origin: string, key: string): Promise<EchoAnswer> {
	while (true) {
		const response = await fetch(`${origin}/lots/${key}`, {
			method: 'POST', headers: {'buckthornpoint-service': 'sklad', 'buckthornpoint-key': key}, body: `look up ${key}`,
		});
		const answer: unknown = await response.json();
		if (response.ok) {
			return {...answer as EchoAnswer, key}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		}

		await clock.sleep(pollMs);
	}
}
