import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {v7 as createUuid} from 'uuid';
import {startSmallCell, type SmallCell} from './small-cell.js';

type Answer = {
	readonly requestId: string;
	readonly status: number;
	readonly text: string;
};

const clock = new SystemClock();
const service = 'sklad';
const deadlineMs = 10_000;
const pollMs = 50;
const roundIntervalMs = 20;
const roundsBefore = 20;
const roundsAfter = 40;

let cell: SmallCell | undefined;
let answers: readonly Answer[] = [];
let hasStopped = false;

Given('a small cell of {int} VMs whose requests take {int} ms', async (size: number, serviceTimeMs: number) => {
	cell = await startSmallCell(clock, {size, service, serviceTimeMs});
	await waitUntilServing(cell);
});

When('the VM {string} is stopped as planned while callers send requests to all nodes', async (vmId: string) => {
	const vms = cell?.vms ?? [];
	const stopped = vms.find(vm => vm.vmId === vmId);
	const others = vms.filter(vm => vm !== stopped).map(({daemon}) => daemon.callerOrigin);
	const before = await startRequests(vms.map(({daemon}) => daemon.callerOrigin), roundsBefore);
	const stopping = stopped?.daemon.stop().then(() => {
		hasStopped = true;
	});
	const after = await startRequests(others, roundsAfter);
	answers = await Promise.all([...before, ...after]);
	await stopping;
});

Then('every request was answered by the owner of its key', () => {
	const failed = answers.filter(({status}) => status !== 200);
	assert.deepEqual(failed, []);
});

Then('no request was executed twice', () => {
	for (const {requestId} of answers) {
		const runs = cell?.vms.map(({backendServer}) => backendServer.countRuns(requestId)) ?? [];
		assert.equal(runs.reduce((sum, count) => sum + count, 0), 1, requestId);
	}
});

Then('the VM {string} stopped in time', (_vmId: string) => {
	assert.ok(hasStopped);
});

After(async () => {
	await cell?.close();
	cell = undefined;
});

async function waitUntilServing(startedCell: SmallCell): Promise<void> {
	await Promise.all(startedCell.vms.flatMap(({daemon}) => Array.from({length: roundsBefore}, async (_, index) =>
		waitUntilAnswered(daemon.callerOrigin, `lot-${index}`))));
}

async function waitUntilAnswered(origin: string, key: string): Promise<void> {
	let answer = await sendRequest(origin, key);
	while (answer.status !== 200) {
		await clock.sleep(pollMs);
		answer = await sendRequest(origin, key);
	}
}

async function startRequests(origins: readonly string[], rounds: number): Promise<ReadonlyArray<Promise<Answer>>> {
	const started: Array<Promise<Answer>> = [];
	for (let round = 0; round < rounds; round++) {
		started.push(...origins.map(async origin => sendRequest(origin, `lot-${round}`)));
		await clock.sleep(roundIntervalMs);
	}

	return started;
}

async function sendRequest(origin: string, key: string): Promise<Answer> {
	const requestId = createUuid();
	const response = await fetch(`${origin}/lots/${key}`, {
		method: 'POST',
		headers: {
			'buckthornpoint-service': service,
			'buckthornpoint-key': key,
			'buckthornpoint-request-id': requestId,
			'buckthornpoint-deadline-ms': String(deadlineMs),
		},
		body: `reserve ${key}`,
	});
	return {requestId, status: response.status, text: await response.text()};
}
