import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {requestHeldPartitionCount, requestStatus} from '@buckthornpoint/buckthornpoint/operator-client.js';
import type {StatusAnswer} from '@buckthornpoint/buckthornpoint/status-answer.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {
	deploymentPlans, operatorKey, startDeployment, type Deployment,
} from './deployment.js';
import {checkGoldenFile} from './golden-file.js';
import {
	formatRecord, runOperatorCommand, type CommandRecord, type SessionOpts,
} from './operator-session.js';

const clock = new SystemClock();
const pollMs = 50;

let deployment: Deployment | undefined;
let files = new Map<string, string>();
let records: string[] = [];

Given('the deployment {string} without a configuration', async (name: string) => {
	const plan = deploymentPlans[name];
	assert.ok(plan !== undefined);
	deployment = await startDeployment(plan, clock);
	await waitForMembers(deployment.vms.length);
});

Given('the file {string}:', (name: string, content: string) => {
	files.set(name, content);
});

When('the operator runs:', async (script: string) => {
	for (const line of script.split('\n').filter(text => text.startsWith('$ ')).map(text => text.slice(2))) {
		records.push(formatRecord(line, await runOperatorCommand(line, createSessionOpts('anna', 0))));
	}
});

When('{string} and {string} run concurrently, each through a different node:', async (first: string, second: string, line: string) => {
	const outcomes = await Promise.all([first, second].map(async (operator, index) => ({
		operator, record: await runOperatorCommand(line.replaceAll('<operator>', operator), createSessionOpts(operator, index)),
	})));
	const sorted = outcomes.toSorted((left, right) => left.record.exitCode - right.record.exitCode);
	const names = sorted.map(({operator}) => operator);
	for (const {record, operator} of sorted) {
		records.push(formatRecord(`(${operator === names[0] ? 'winner' : 'loser'}) ${line}`, withRoleNames(record, names)));
	}
});

When('every partition is owned by one VM', async () => {
	await waitForOwners();
});

When('the table service becomes unavailable', () => {
	getDeployment().tableService.setFaults({down: true});
});

When('the table service becomes available again', () => {
	getDeployment().tableService.setFaults({down: false});
});

When('the table service loses the answer to the next write', () => {
	getDeployment().tableService.setFaults({loseAnswers: 1});
});

Then('the session matches the golden file {string}', (name: string) => {
	checkGoldenFile(name, records.join('\n'));
});

After(async () => {
	await deployment?.close();
	deployment = undefined;
	files = new Map();
	records = [];
});

function getDeployment(): Deployment {
	assert.ok(deployment !== undefined);
	return deployment;
}

function createSessionOpts(operator: string, firstNode: number): SessionOpts {
	const nodes = getDeployment().vms.map(({daemon}) => daemon.callerOrigin);
	return {
		clock, operator, files, nodes: [...nodes.slice(firstNode), ...nodes.slice(0, firstNode)],
	};
}

/**
 * Replaces the names of the operators by their roles. Whether the loser's addition is printed depends on whether the
 * conflict is detected at the check or at the commit, so it is removed.
 */
function withRoleNames(record: CommandRecord, [winner = '', loser = '']: readonly string[]): CommandRecord {
	const text = record.output.replaceAll(winner, '<winner>').replaceAll(loser, '<loser>');
	return {...record, output: text.split('\n').filter(line => line !== '+ failure domain domain-of-<loser>').join('\n')};
}

async function waitForMembers(count: number): Promise<void> {
	while (await countAnnouncedMembers() < count) {
		await clock.sleep(pollMs);
	}
}

async function countAnnouncedMembers(): Promise<number> {
	const {status} = await requestStatusOf(0);
	return status.role === 'controller'
		? status.members.filter(({backendServer, silentForMs}) => backendServer !== undefined && silentForMs !== undefined).length
		: 0;
}

/** Waits until the numbers of owned partitions that the nodes report add up to all partitions. */
async function waitForOwners(): Promise<void> {
	const origins = getDeployment().vms.map(({daemon}) => daemon.callerOrigin);
	const settings = {nodes: origins, operatorKey, operator: 'anna'};
	while (true) {
		const {configuration} = await requestStatusOf(0);
		const total = configuration.services.reduce((sum, {partitionCount}) => sum + partitionCount, 0);
		const owned = await Promise.all(origins.map(async origin => requestHeldPartitionCount(settings, origin)));
		if (total > 0 && owned.reduce<number>((sum, count) => sum + (count ?? 0), 0) === total) {
			return;
		}

		await clock.sleep(pollMs);
	}
}

async function requestStatusOf(index: number): Promise<StatusAnswer> {
	const origin = getDeployment().vms[index]?.daemon.callerOrigin ?? '';
	const answer = await requestStatus({nodes: [origin], operatorKey, operator: 'anna'});
	return answer._unsafeUnwrap();
}
