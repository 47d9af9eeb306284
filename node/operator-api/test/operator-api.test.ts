import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import test from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import type {LogEvent} from '@buckthornpoint/log/events.js';
import {Log} from '@buckthornpoint/log/log.js';
import {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import {emptyConfiguration, type Configuration} from '@buckthornpoint/types/configuration.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';
import {createOperatorApi} from '../src/operator-api.js';
import {ScriptedStore} from './scripted-store.js';

const operatorKey = 'operator-key-of-this-test';
const node = {vmId: 'vm-1', incarnation: '1'};

class RecordingLog extends Log {
	readonly events: LogEvent[] = [];

	constructor() {
		super('debug');
	}

	protected override report(event: LogEvent): void {
		this.events.push(event);
	}
}

function createApi() {
	const log = new RecordingLog();
	const configuration = new ObservableValue<Configuration>(emptyConfiguration);
	const store = new ScriptedStore();
	const app = createOperatorApi({
		operatorKey,
		store,
		clock: new ManualClock(),
		log,
		configuration,
		routing: new ObservableValue<RoutingTable>({
			map: {version: 3, vmIds: ['vm-1'], placements: [{service: 'sklad', owners: Array.from({length: 256}, () => 0), exceptions: [{key: 'hot', owner: 'vm-1'}]}]},
			members: [{
				...node, failureDomain: 'kosice-a', phase: 'active', peerOrigin: 'http://10.0.0.1:7101', callerOrigin: 'http://10.0.0.1:7100',
			}],
		}),
		ownership: new ObservableValue({node, leaseEnd: undefined, grants: new Map()}),
		readStatus: () => ({
			cell: 'c', node, role: 'controller', epoch: 1, leaseRemainingMs: 0, configurationVersion: 0, mapVersion: 3, members: [], grants: [],
		}),
		receiveConfiguration(received) {
			configuration.publish(received);
		},
	});
	const callApi = async (path: string, body?: unknown, key = operatorKey): Promise<{readonly status: number; readonly text: string}> => {
		const response = await app.request(`/v1/operator/${path}`, {
			method: body === undefined ? 'GET' : 'POST', headers: {authorization: `Bearer ${key}`}, body: body === undefined ? undefined : JSON.stringify(body),
		});
		return {status: response.status, text: await response.text()};
	};

	return {log, store, callApi};
}

const exampleNames = ['medoplech', 'kartonpont'] as const;
const change = {
	changeId: '1', operator: 'anna', checkOnly: false, force: false,
};

test('the example notes of both deployments are accepted and recorded in the history', async () => {
	for (const name of exampleNames) {
		const {callApi} = createApi();
		const text = readFileSync(new URL(`../../../../examples/${name}.jsonc`, import.meta.url), 'utf8');
		const answer = await callApi('notes', {...change, text, file: name});
		assert.equal(answer.status, 200, answer.text);
		const history = await callApi('history');
		assert.match(history.text, /"version":1,.*"operator":"anna"/v);
	}
});

test('a wrong operator key is refused on every path, and no key is logged', async () => {
	const {callApi, log} = createApi();
	for (const [path, body] of [['status'], ['history'], ['explain?service=sklad&key=1'], ['notes', {}], ['commands', {}]] as const) {
		const answer = await callApi(path, body, 'a wrong key that somebody typed');
		assert.equal(answer.status, 401);
	}

	await callApi('commands', {...change, command: {kind: 'failure-domain-out', name: 'x'}});
	const logged = JSON.stringify(log.events);
	assert.ok(!logged.includes(operatorKey) && !logged.includes('typed'));
	assert.equal(log.events.length, 6);
});

test('malformed bodies and notes are refused with findings, and oversized notes with status 413', async () => {
	const {callApi} = createApi();
	const incomplete = await callApi('notes', {text: 1});
	assert.equal(incomplete.status, 400);
	const malformed = await callApi('notes', {...change, file: 'note.jsonc', text: '{\n "baseVersion": }'});
	assert.match(malformed.text, /ERR_DOCUMENT_SYNTAX.*"line":2,"column":17/v);
	const huge = await callApi('notes', {...change, file: 'note.jsonc', text: ' '.repeat(300_000)});
	assert.equal(huge.status, 413);
	const immense = await callApi('notes', {...change, file: 'note.jsonc', text: ' '.repeat(2_000_000)});
	assert.equal(immense.status, 413);
});

test('a key is explained with its partition, its owner and the reasons', async () => {
	const {callApi} = createApi();
	const text = readFileSync(new URL('../../../../examples/medoplech.jsonc', import.meta.url), 'utf8');
	await callApi('notes', {...change, text, file: 'medoplech'});
	const plain = await callApi('explain?service=sklad&key=lot-1');
	assert.match(plain.text, /hashes to partition 161 of 256.*gives it to vm-1.*"owner":\{"vmId":"vm-1"/v);
	const hot = await callApi('explain?service=sklad&key=hot');
	assert.match(hot.text, /"partition":256.*hot and has an owner of its own/v);
	const unknown = await callApi('explain?service=sklady&key=hot');
	assert.equal(unknown.status, 404);
});

test('a node that cannot reach the store answers with status 503 and a message that nothing was accepted', async () => {
	const {callApi, store} = createApi();
	store.isDown = true;
	const answer = await callApi('commands', {...change, command: {kind: 'failure-domain-out', name: 'zilina'}});
	assert.equal(answer.status, 503);
	assert.match(answer.text, /this node cannot reach the store; nothing was accepted/v);
});
