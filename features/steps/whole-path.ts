import assert from 'node:assert/strict';
import {
	After, Given, Then, When, setDefaultTimeout,
} from '@cucumber/cucumber';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {startSmallCell, type SmallCell} from './small-cell.js';

type EchoAnswer = {
	readonly key: string;
	readonly server: string;
	readonly body: string;
};

const clock = new SystemClock();
const pollMs = 20;
const defaultTimeoutMs = 60_000;

let cell: SmallCell | undefined;
let answers: readonly EchoAnswer[] = [];

setDefaultTimeout(defaultTimeoutMs);

Given('a cell of {int} VMs with the service {string} partitioned by key', async (size: number, service: string) => {
	cell = await startSmallCell(clock, {size, service, serviceTimeMs: 1});
});

When('a caller requests from each node the keys {string}', async (keys: string) => {
	const origins = cell?.vms.map(({daemon}) => daemon.callerOrigin) ?? [];
	const pending = keys.split(', ').flatMap(key => origins.map(async origin => requestUntilAnswered(origin, key)));
	answers = await Promise.all(pending);
});

Then('each answer matches its request', () => {
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
	await cell?.close();
	cell = undefined;
});

async function requestUntilAnswered(origin: string, key: string): Promise<EchoAnswer> {
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
