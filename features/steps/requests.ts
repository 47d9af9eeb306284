import assert from 'node:assert/strict';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {request} from 'undici';
import {v7 as createUuid} from 'uuid';
import {deploymentPlans, startDeployment, type Deployment} from './deployment.js';
import {runOperatorCommand} from './operator-session.js';

type ScriptedRequest = {
	readonly name: string;
	readonly vm: number;
	readonly method: string;
	readonly service: string | undefined;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string | undefined;
};

type Failure = {
	readonly outcome: string;
	readonly reason: string;
	readonly message: string;
};

const clock = new SystemClock();
const pollMs = 50;
const linePattern = /^(?<name>\S+) through VM (?<vm>\d+): (?<method>[A-Z]+)(?: (?<service>\w+))? (?<path>\/[^\s,]*)(?<rest>.*)$/v;

let deployment: Deployment | undefined;
let requestIds = new Map<string, string>();
let transcript: string[] = [];

Given('callers of the deployment {string}', async (name: string) => {
	const plan = deploymentPlans[name];
	assert.ok(plan !== undefined);
	deployment = await startDeployment(plan, clock);
	const nodes = deployment.vms.map(({daemon}) => daemon.callerOrigin);
	const opts = {
		clock, nodes, operator: 'anna', files: new Map<string, string>(),
	};
	while ((await runOperatorCommand(`buckthornpoint apply examples/${name}.jsonc --wait`, opts)).exitCode !== 0) { // eslint-disable-line unicorn/no-await-expression-member
		await clock.sleep(pollMs);
	}

	for (const service of Object.keys(plan.services)) {
		await waitUntilServing(service);
	}
});

When('they send:', async (script: string) => {
	for (const line of script.split('\n')) {
		transcript.push(`${line}\n  ${await send(parseLine(line))}`);
	}
});

Then('the responses match the golden file {string}', (name: string) => {
	const file = new URL(`../../golden/${name}`, import.meta.url);
	const actual = `${transcript.join('\n')}\n`;
	if (process.env.UPDATE_GOLDEN === 'yes' || !existsSync(file)) {
		assert.equal(process.env.UPDATE_GOLDEN, 'yes', `the golden file ${name} is missing; write it with UPDATE_GOLDEN=yes`);
		writeFileSync(file, actual);
	}

	assert.equal(actual, readFileSync(file, 'utf8'));
});

After(async () => {
	await deployment?.close();
	deployment = undefined;
	requestIds = new Map();
	transcript = [];
});

function getDeployment(): Deployment {
	assert.ok(deployment !== undefined);
	return deployment;
}

function parseLine(line: string): ScriptedRequest {
	const {name = '', vm = '', method = '', service, path = '', rest = ''} = linePattern.exec(line)?.groups ?? {};
	assert.notEqual(name, '', `not a request: ${line}`);
	const parts = rest.split(', ').filter(part => part !== '');
	const headers = parts.filter(part => part.includes('=')).map(part => part.split('=') as [string, string]); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return {
		name, vm: Number(vm), method, service, path, headers: Object.fromEntries(headers), body: parts.find(part => part.startsWith('body '))?.slice('body '.length),
	};
}

/** Sends the request and describes its response and how often the deployment executed the request. */
async function send(scripted: ScriptedRequest): Promise<string> {
	const {vms} = getDeployment();
	const requestId = requestIds.get(scripted.name) ?? createUuid();
	requestIds.set(scripted.name, requestId);
	const serviceHeader: Readonly<Record<string, string>> = scripted.service === undefined ? {} : {'buckthornpoint-service': scripted.service};
	const response = await request(`${vms[scripted.vm - 1]?.daemon.callerOrigin ?? ''}${scripted.path}`, {
		method: scripted.method as 'GET', headers: {'buckthornpoint-request-id': requestId, ...serviceHeader, ...scripted.headers}, body: scripted.body, // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	});
	const content: unknown = await response.body.json();
	const runs = vms.reduce((total, {backendServer}) => total + backendServer.countRuns(requestId), 0);
	const echoed = response.headers['buckthornpoint-request-id'] === (scripted.headers['buckthornpoint-request-id'] ?? requestId) ? 'its own id' : 'another id';
	return `${response.statusCode} with ${echoed}, ${formatContent(response.statusCode, content)}, ran ${runs} times`;
}

function formatContent(statusCode: number, content: unknown): string {
	if (statusCode === 200) {
		return `answer to "${(content as {readonly body: string}).body}"`; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	}

	const {outcome, reason, message} = content as Failure; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return `${outcome}: ${reason}: ${message}`;
}

async function waitUntilServing(service: string): Promise<void> {
	const origin = getDeployment().vms[0]?.daemon.callerOrigin ?? '';
	while (true) {
		const response = await request(`${origin}/lots`, {headers: {'buckthornpoint-service': service, 'buckthornpoint-key': 'first'}});
		await response.body.dump();
		if (response.statusCode === 200) {
			return;
		}

		await clock.sleep(pollMs);
	}
}
