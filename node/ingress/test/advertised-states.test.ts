import assert from 'node:assert/strict';
import {createServer, type Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {createCallerHeaders, formatAnswer, readRequestHead} from '@buckthornpoint/fleet-stand-in/stand-in-messages.js';
import {formatBackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';
import {AdvertisedStates} from '../src/advertised-states.js';

const address = 'vm-1:1';
const key = formatBackendInstanceKey('i-1', 1);
const stepMs = 20;
const offeredPerS = 100;
const workMs = 160;
const restartIntervalMs = 1500;
const durationMs = 15_000;

/** The users' rule counts requests of nodes that passed on an answer with the limit at least this long before. */
const boundAfterMs = 500;

type EntryNode = {readonly states: AdvertisedStates; passedMs: number | undefined};

/** Sends requests of many entry nodes through the gate of one node that restarts again and again. Returns when requests arrived, of all nodes and of those that the limit binds. */
async function runNodes(t: TestContext, count: number, limitPerS: number): Promise<{readonly allMs: readonly number[]; readonly boundMs: readonly number[]}> {
	const clock = new ManualClock();
	const random = new SeededRandom(count);
	const readNowMs = (): number => clock.readTimestamp().monotonicMs;
	const nodes = Array.from({length: count}, (): EntryNode => ({states: new AdvertisedStates({leavingSendMs: 1000}), passedMs: undefined}));
	const allMs: number[] = [];
	const boundMs: number[] = [];
	let running: ReadonlyArray<{readonly socket: Socket; readonly requestId: string; readonly endMs: number}> = [];
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			const requestId = readRequestHead(chunk.toString('latin1')).requestId ?? '';
			allMs.push(readNowMs());
			const {passedMs} = nodes[Number(requestId.split('-')[0])]!;
			if (passedMs !== undefined && readNowMs() >= passedMs + boundAfterMs) {
				boundMs.push(readNowMs());
			}

			running = [...running, {socket, requestId, endMs: readNowMs() + workMs}];
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const serverAddress = server.address();
	const createGate = (): BackendGate => {
		const created = new BackendGate({
			host: '127.0.0.1', port: typeof serverAddress === 'object' ? serverAddress?.port ?? 0 : 0, clock, isHeld: () => true,
			onServerEnded: () => undefined, onCold: () => undefined, onLimitChange: () => undefined, onLeaving: () => undefined,
		});
		created.setBackend({
			id: 'i-1', key, service: 's', slots: 18, isDivided: false, coldPerS: undefined,
		});
		return created;
	};

	let gate = createGate();
	t.after(() => {
		gate.close();
		server.close();
	});
	const send = (requestId: string, node: EntryNode): void => {
		const advertised = node.states.get(address, readNowMs());
		const owner = gate;
		owner.admit({
			requestId, method: 'GET', path: '/', headers: Object.entries(createCallerHeaders(requestId)).flat(), body: new Uint8Array(), key: undefined, service: 's', route: 'r',
			callerService: 'c', priority: 1, isIdempotent: true, mayWait: false, remainingMs: 3000, targetMs: 500, lateMs: 500, ...(advertised !== undefined && {advertised}),
		}, outcome => {
			node.states.record(address, owner.readLoad(advertised !== undefined).advertised, readNowMs());
			if (outcome.kind === 'answer') {
				node.passedMs ??= readNowMs();
			}
		});
	};

	for (let step = 0; step * stepMs < durationMs; step++) {
		if (step > 0 && step * stepMs % restartIntervalMs === 0) {
			gate.close();
			gate = createGate();
		}

		for (let index = 0; index < offeredPerS * stepMs / 1000; index++) {
			const entry = random.generateIntegerBelow(count);
			send(`${entry}-${step}-${index}`, nodes[entry]!);
		}

		for (const {socket, requestId} of running.filter(({endMs}) => endMs <= readNowMs())) {
			socket.write(formatAnswer(requestId, 'ok', {limitPerS}));
		}

		running = running.filter(({endMs}) => endMs > readNowMs());
		for (let turn = 0; turn < 10; turn++) {
			await setImmediate();
		}

		clock.advance(stepMs);
		gate.advance();
	}

	return {allMs, boundMs};
}

for (const count of [12, 76, 195]) {
	for (const limitPerS of [1, 5]) {
		test(`${count} nodes together keep to a limit of ${limitPerS} a second while the node beside the server restarts every 1.5 s`, async t => {
			const {allMs, boundMs} = await runNodes(t, count, limitPerS);
			const most = Math.max(0, ...boundMs.map(startMs => boundMs.filter(timeMs => timeMs >= startMs && timeMs < startMs + 4000).length));
			assert.ok(allMs.length >= durationMs / 1000 * limitPerS / 2, `only ${allMs.length} requests in ${durationMs} ms`);
			assert.ok(most <= (1.5 * 4 * limitPerS) + 5, `${most} requests in 4 s`);
		});
	}
}

test('a server that left is remembered by its instance: another one on the same VM gets requests', () => {
	const states = new AdvertisedStates({leavingSendMs: 1000});
	const createEntry = (bornMs: number): DirectoryEntry => ({
		vmId: 'vm-1', address, failureDomain: 'a', isStopping: false, backend: {
			key: formatBackendInstanceKey('i-1', bornMs), service: 's', state: 'ready', slots: 18, isCold: false,
		},
	});
	states.record(address, {key, leavingForMs: 200}, 5000);
	assert.deepEqual([states.isLeaving(createEntry(1)), states.hasLeft(createEntry(1), 5799), states.hasLeft(createEntry(1), 5800)], [true, false, true]);
	assert.deepEqual([states.isLeaving(createEntry(2)), states.hasLeft(createEntry(2), 9000)], [false, false]);
	// A later answer can't move the time of the first statement.
	states.record(address, {key, leavingForMs: 0}, 5700);
	assert.equal(states.hasLeft(createEntry(1), 5800), true);
	states.record(address, {key: formatBackendInstanceKey('i-1', 2)}, 6000);
	assert.equal(states.get(address, 6000), undefined);
});
