import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {StandInBackendServer} from '@buckthornpoint/backend-server/backend-server.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';
import {HttpTableStore} from '@buckthornpoint/table-store/http-table-store.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {request} from 'undici';
import {startDaemon, type Daemon} from '../src/daemon.js';

const clock = new SystemClock();
const pollMs = 20;

const configuration: Configuration = {
	version: 1,
	services: [{
		name: 'sklad', tenant: 'medoplech', divided: true, partitionCount: 16, maxConnections: 110, coldConcurrency: 4, rules: [],
	}],
	failureDomains: [],
	stoppingVms: [],
	deadVms: [],
};

const tableService = new TableService(clock);
const daemons: Daemon[] = [];
const backendServers: StandInBackendServer[] = [];

before(async () => {
	const tableStore = await tableService.open();
	const store = new HttpTableStore(tableStore);
	await store.commitTransaction({writeId: 'setup', conditions: [], writes: [{key: 'configuration', value: configuration}]});
	await store.close();
	for (const vmId of ['vm-1', 'vm-2', 'vm-3']) {
		const daemon = await startDaemon({
			vmId,
			cell: 'sk-east-1',
			failureDomain: 'fd-1',
			caller: {host: '127.0.0.1', port: 0},
			peer: {host: '127.0.0.1', port: 0},
			tableStore,
			objectStore: tableStore,
			operatorKey: 'operator-key-of-this-test',
			log: {level: 'error', reporter: 'silent'},
		}, {clock, log: new SilentLog()});
		daemons.push(daemon);
		const backendServer = new StandInBackendServer(clock, {
			name: `sklad-${vmId}`, service: 'sklad', slots: 18, checksFence: false, incarnation: `${vmId}/1`, nodeOrigin: daemon.callerOrigin, serviceTimeMs: 1, announceIntervalMs: 50,
		});
		backendServers.push(backendServer);
		await backendServer.open();
	}
});

after(async () => {
	await Promise.all(backendServers.map(async backendServer => backendServer.close()));
	await Promise.all(daemons.map(async daemon => daemon.close()));
	await tableService.close();
});

test('a request that enters any node is answered by the owner of its key', async () => {
	for (const key of ['lot-1', 'lot-2', 'lot-3', 'lot-4']) {
		const answers = new Set<string>();
		for (const daemon of daemons) {
			const answer = await requestUntilAnswered(daemon, key);
			assert.equal(answer.body, `reserve ${key}`);
			answers.add(answer.server);
		}

		assert.equal(answers.size, 1);
	}
});

async function requestUntilAnswered(daemon: Daemon, key: string): Promise<{readonly server: string; readonly body: string}> {
	while (true) {
		const response = await request(`${daemon.callerOrigin}/lots/${key}`, {
			method: 'POST', headers: {'buckthornpoint-service': 'sklad', 'buckthornpoint-key': key}, body: `reserve ${key}`,
		});
		if (response.statusCode === 200) {
			return await response.body.json() as {readonly server: string; readonly body: string}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		}

		await response.body.dump();
		await clock.sleep(pollMs);
	}
}
