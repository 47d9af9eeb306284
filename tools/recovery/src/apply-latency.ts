#!/usr/bin/env node
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {startDaemon, type Daemon} from '@buckthornpoint/daemon/daemon.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';

/**
 * Measures how long an accepted configuration takes to be in force on all nodes of a cell, as the status of the nodes
 * reports it. Arguments: number of changes, then cell sizes. Prints one JSON document per line.
 */
const operatorKey = 'operator-key-of-the-measurement';
const defaultChanges = 100;
const defaultSizes = [10, 40];
const firstArgument = 2;
const pollMs = 20;
const pauseBetweenChangesMs = 100;
const statusOk = 200;
const applyLimitMs = 5000;
const failureDomains = 3;
const clock = new SystemClock();

const [changes = defaultChanges, ...sizes] = process.argv.slice(firstArgument).map(Number);

for (const size of sizes.length > 0 ? sizes : defaultSizes) {
	for (const isStoreDown of [false, true]) {
		const times = await measureCell(size, isStoreDown);
		process.stdout.write(`${JSON.stringify({
			members: size,
			storeDownAfterAcceptance: isStoreDown,
			changes: times.length,
			medianMs: Math.round(times.toSorted((left, right) => left - right)[Math.floor(times.length / 2)] ?? 0),
			worstMs: Math.round(Math.max(...times)),
			overLimit: times.filter(time => time > applyLimitMs).length,
		})}\n`);
	}
}

async function measureCell(size: number, isStoreDown: boolean): Promise<readonly number[]> {
	const tableService = new TableService(clock);
	const tableStore = await tableService.open();
	const daemons = await Promise.all(Array.from({length: size}, async (_, index) => startNode(index, tableStore)));
	await waitForMembers(daemons);
	const times: number[] = [];
	for (let version = 1; version <= changes; version++) {
		await applyChange(daemons[version % size]!, version);
		const acceptedMs = clock.readTimestamp().monotonicMs;
		tableService.setFaults({down: isStoreDown});
		await waitForVersion(daemons, version);
		times.push(clock.readTimestamp().monotonicMs - acceptedMs);
		tableService.setFaults({down: false});
		await clock.sleep(pauseBetweenChangesMs);
	}

	await Promise.all(daemons.map(async daemon => daemon.close()));
	await tableService.close();
	return times;
}

async function startNode(index: number, tableStore: string): Promise<Daemon> {
	const listen = {host: '127.0.0.1', port: 0};
	return startDaemon({
		vmId: `vm-${index + 1}`,
		cell: 'measured',
		failureDomain: `domain-${index % failureDomains}`,
		caller: listen,
		peer: listen,
		tableStore,
		objectStore: tableStore,
		operatorKey,
		log: {level: 'error', reporter: 'silent'},
	}, {clock, log: new SilentLog()});
}

async function waitForMembers(daemons: readonly Daemon[]): Promise<void> {
	while (true) {
		const {members} = await requestStatus(daemons[0]!);
		if (members.length === daemons.length) {
			return;
		}

		await clock.sleep(pollMs);
	}
}

async function waitForVersion(daemons: readonly Daemon[], version: number): Promise<void> {
	let behind = daemons;
	while (behind.length > 0) {
		await clock.sleep(pollMs);
		const statuses = await Promise.all(behind.map(async daemon => ({daemon, status: await requestStatus(daemon)})));
		behind = statuses.filter(({status}) => status.configurationVersion < version).map(({daemon}) => daemon);
	}
}

async function applyChange(daemon: Daemon, version: number): Promise<void> {
	const text = JSON.stringify({
		baseVersion: version - 1,
		summary: `change ${version}`,
		added: {failureDomains: [{name: `domain-${version}`}]},
		withdrawn: version === 1 ? undefined : {failureDomains: [`domain-${version - 1}`]},
	});
	const response = await sendRequest(`${daemon.callerOrigin}/v1/operator/notes`, {
		method: 'POST',
		headers: {'content-type': 'application/json', authorization: `Bearer ${operatorKey}`},
		body: JSON.stringify({
			changeId: randomUUID(), operator: 'measurement', checkOnly: false, force: false, text, file: 'note',
		}),
	});
	const answer = await response.body.text();
	if (response.statusCode !== statusOk) {
		throw new Error(answer);
	}
}

type NodeStatus = {
	readonly configurationVersion: number;
	readonly members: readonly unknown[];
};

async function requestStatus(daemon: Daemon): Promise<NodeStatus> {
	const response = await sendRequest(`${daemon.callerOrigin}/v1/operator/status`, {headers: {authorization: `Bearer ${operatorKey}`}});
	const {status} = await response.body.json() as {readonly status: NodeStatus}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return status;
}
