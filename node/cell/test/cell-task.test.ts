import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import type {CellEffect, CellInput} from '@buckthornpoint/ownership/machine.js';
import type {CellMessage} from '@buckthornpoint/ownership/messages.js';
import type {Row, StoreFailure} from '@buckthornpoint/table-store/table-store.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {CellTask} from '../src/cell-task.js';
import {PeerTransport, type IncomingMessage, type OutgoingMessage} from '../src/peer-transport.js';
import {FixedStore, ScriptedMachine} from './fakes.js';

const peer = {vmId: 'vm-2', incarnation: 'b1'};
const notice: CellMessage = {kind: 'notice', epoch: 1};
const member: Member = {
	vmId: 'vm-1', incarnation: 'a1', peerOrigin: 'http://10.0.0.1:1', callerOrigin: 'http://10.0.0.1:2', failureDomain: 'fd-1', phase: 'active',
};

class RecordingTransport extends PeerTransport {
	readonly sent: OutgoingMessage[] = [];
	readonly #answers: readonly IncomingMessage[] | undefined;

	constructor(answers: readonly IncomingMessage[] | undefined) {
		super();
		this.#answers = answers;
	}

	override deliver(message: OutgoingMessage): ResultAsync<readonly IncomingMessage[], BuckthornpointError> {
		this.sent.push(message);
		return this.#answers === undefined ? errAsync(new BuckthornpointError('ERR_PEER_UNREACHABLE', 'failure injected by the test')) : okAsync(this.#answers);
	}

	override async close(): Promise<void> {
		// There are no resources to close.
	}
}

type Setup = {
	readonly rows?: readonly Row[];
	readonly failure?: StoreFailure['kind'];
	readonly answers?: readonly IncomingMessage[];
};

function createTask(react: (input: CellInput) => readonly CellEffect[], setup: Setup = {}) {
	const clock = new ManualClock();
	const machine = new ScriptedMachine(react);
	const transport = new RecordingTransport(setup.answers);
	const store = new FixedStore(setup.rows ?? [], setup.failure);
	const task = new CellTask({
		cell: 'cell', member, store, clock, random: new SeededRandom(1), log: new SilentLog(), machine, transport,
	});
	const running = task.run();
	const close = async (): Promise<void> => {
		await task.close();
		await running;
	};

	return {
		clock, machine, transport, store, task, close,
	};
}

async function waitForTasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

test('messages to the sender of a message are returned as replies, others are sent', async () => {
	const {task, transport, close} = createTask(input => input.kind === 'message'
		? [
			{
				kind: 'send', to: peer, peerOrigin: 'http://10.0.0.2:1', message: notice,
			},
			{
				kind: 'send', to: {...peer, incarnation: 'b2'}, peerOrigin: 'http://10.0.0.2:1', message: notice,
			},
		]
		: [], {answers: []});
	assert.deepEqual(await task.handleMessage({from: peer, message: notice}), [notice]);
	assert.deepEqual(transport.sent.map(({to}) => to?.incarnation), ['b2']);
	await close();
	await assert.rejects(task.handleMessage({from: peer, message: notice}), {code: 'ERR_STOPPING'});
});

test('answers become messages from the node that they name, and a failed delivery is reported', async () => {
	const send = (input: CellInput): readonly CellEffect[] => input.kind === 'wake'
		? [{
			kind: 'send', to: undefined, peerOrigin: 'http://10.0.0.2:1', message: notice,
		}]
		: [];
	const answered = createTask(send, {answers: [{from: peer, message: notice}]});
	const failed = createTask(send);
	await waitForTasks();
	assert.deepEqual(answered.machine.inputs[1], {kind: 'message', from: peer, message: notice});
	assert.deepEqual(failed.machine.inputs[1], {kind: 'delivery-failed', peerOrigin: 'http://10.0.0.2:1', message: notice});
	await answered.close();
	await failed.close();
});

test('a state machine is woken at the time that it requested, and after a stall before it gets any other input', async () => {
	let wakeAtMs = 0;
	const {clock, task, machine, close} = createTask(input => {
		wakeAtMs += input.kind === 'wake' ? 100 : 0;
		return [{kind: 'wake-at', monotonicMs: wakeAtMs}];
	});
	await waitForTasks();
	clock.advance(100);
	await waitForTasks();
	assert.deepEqual(machine.inputs.map(({kind}) => kind), ['wake', 'wake']);
	task.recordDrained({service: 'sklad', partition: 1});
	clock.advance(100);
	await waitForTasks();
	assert.deepEqual(machine.inputs.map(({kind}) => kind).slice(2, 4), ['wake', 'partition-drained']);
	await close();
});

test('a write depends on the versions of both rows, and its outcome is reported unchanged', async () => {
	const outcomes: string[] = [];
	for (const failure of [undefined, 'conflict', 'unavailable', 'outcome-unknown'] as const) {
		const {machine, store, close} = createTask(input => input.kind === 'wake'
			? [{
				kind: 'write-store',
				operationId: 7,
				write: {
					writeId: 'w1',
					leaseVersion: 2,
					cellVersion: 3,
					lease: {
						epoch: 1, controller: peer, peerOrigin: '', renewal: 1, authorityMs: 1,
					},
				},
			}]
			: [], {failure});
		await waitForTasks();
		assert.deepEqual(store.committed[0]?.conditions, [{key: 'leases/cell', version: 2}, {key: 'cells/cell', version: 3}]);
		assert.deepEqual(store.committed[0]?.writes.map(({key}) => key), ['leases/cell']);
		const last = machine.inputs.at(-1);
		outcomes.push(last?.kind === 'store-written' ? last.outcome : '');
		await close();
	}

	assert.deepEqual(outcomes, ['written', 'conflict', 'unavailable', 'outcome-unknown']);
});

test('a row that cannot be decoded is a failed read, not an empty store', async () => {
	const readStore = (input: CellInput): readonly CellEffect[] => input.kind === 'wake' ? [{kind: 'read-store', operationId: 1}] : [];
	const broken = createTask(readStore, {
		rows: [{
			key: 'leases/cell', version: 4, writeId: 'w', value: {epoch: 'one'},
		}],
	});
	const empty = createTask(readStore);
	await waitForTasks();
	const absent = {version: 0, writeId: '', value: undefined};
	assert.deepEqual(broken.machine.inputs.at(-1), {kind: 'store-read', operationId: 1, rows: undefined});
	assert.deepEqual(empty.machine.inputs.at(-1), {kind: 'store-read', operationId: 1, rows: {lease: absent, cell: absent}});
	await broken.close();
	await empty.close();
});

test('a node whose state machine fails owns no partitions and leaves the cell', async () => {
	const leaseEnd = {monotonicMs: 1e9, wallMs: 1e15};
	const machine = new ScriptedMachine(input => {
		if (input.kind === 'stop-requested') {
			throw new Error('failure injected by the test');
		}

		return [{kind: 'ownership-changed', view: {node: member, leaseEnd, grants: new Map()}}];
	});
	const task = new CellTask({
		cell: 'cell', member, store: new FixedStore([]), clock: new ManualClock(), random: new SeededRandom(1), log: new SilentLog(), machine, transport: new RecordingTransport([]),
	});
	const running = task.run();
	await waitForTasks();
	assert.equal(task.ownership.read().leaseEnd, leaseEnd);
	await Promise.all([assert.rejects(running), task.requestStop()]);
	assert.equal(task.ownership.read().leaseEnd, undefined);
});
