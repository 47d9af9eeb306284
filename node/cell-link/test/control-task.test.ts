import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import test from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import type {OwnershipRules} from '@buckthornpoint/key-ranges/classify-backend.js';
import type {BackendState, MemberHeartbeat} from '@buckthornpoint/key-ranges/messages.js';
import type {ControlEvent} from '../src/control-event.js';
import {ControlTask} from '../src/control-task.js';
import {
	cellTable, controllerKey, decodeControllerRecord, type ControllerRecord,
} from '../src/controller-record.js';
import {encodeLeaveRecord, isLeaveKey} from '../src/leave-record.js';
import {SimulatedStore} from './simulated-store.js';
import {simulatedOperatorState} from './simulated-operator.js';
import {simulatedTimes} from './simulated-fleet.js';

type Fixture = {readonly task: ControlTask; readonly store: SimulatedStore; readonly clock: ManualClock; readonly events: ControlEvent[]};

function openTask(getRules: () => OwnershipRules | undefined = () => ({partitionedServices: new Set(), evacuatedDomains: new Set()})): Fixture {
	const clock = new ManualClock();
	const random = new SeededRandom(1);
	const store = new SimulatedStore((delayMs, run) => {
		clock.startTimer(delayMs, run);
	}, random, () => clock.readTimestamp().monotonicMs);
	const events: ControlEvent[] = [];
	const task = new ControlTask({
		identity: {vmId: 'vm-1', incarnation: 'a', address: 'a:1'},
		store: store.createClient('vm-1'),
		clock,
		random,
		times: simulatedTimes,
		getRules,
		getEpoch: () => 0,
		...simulatedOperatorState,
		getInitialState: () => ({}),
		announceTakeover: () => undefined,
		onLeaves: () => undefined,
		requestHeartbeats: () => undefined,
		onEvent(event) {
			events.push(event);
		},
	});
	return {
		task, store, clock, events,
	};
}

async function run(clock: ManualClock, durationMs: number, stepMs = 10): Promise<void> {
	for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
		clock.advance(stepMs);
		await setImmediate();
	}
}

test('a node that becomes the controller while it is stopping releases the lease', async () => {
	const {task, clock, events} = openTask();
	const search = task.findController();
	await setImmediate();
	// The node is asked to stop while the lease is being acquired.
	const released = task.release();
	await run(clock, 2000);
	await Promise.all([search, released]);
	assert.equal(task.isLeading, false, events.map(({kind}) => kind).join(', '));
	task.close();
});

test('a release that conflicts with a renewal is retried', async () => {
	// Every 200 ms the task checks whether a renewal, which takes a few milliseconds, is due. The offsets move the release across it.
	for (let offsetMs = 0; offsetMs < 240; offsetMs += 2) {
		const {task, store, clock, events} = openTask();
		const search = task.findController();
		await run(clock, 100);
		await search;
		await run(clock, 850, 10);
		await run(clock, offsetMs, 1);
		const released = task.release();
		await run(clock, 200, 2);
		await released;
		const record = await new Promise<ControllerRecord | undefined>(resolve => {
			store.read('vm-2', cellTable, read => {
				resolve(decodeControllerRecord(read._unsafeUnwrap().rows.find(({key}) => key === controllerKey)?.value ?? '').unwrapOr(undefined));
			});
			clock.advance(10);
		});
		assert.equal(record?.untilMs, 0, `${offsetMs} ms: ${events.map(event => JSON.stringify(event)).join(' ')}`);
		task.close();
	}
});

async function readRecord({store, clock}: Fixture): Promise<ControllerRecord> {
	return new Promise(resolve => {
		store.read('vm-2', cellTable, read => {
			resolve(decodeControllerRecord(read._unsafeUnwrap().rows.find(({key}) => key === controllerKey)?.value ?? '')._unsafeUnwrap());
		});
		clock.advance(10);
	});
}

test('a successor of a controller that went on after a return does not trust its maps while an unknown controller\'s leases may run', async () => {
	for (const outageMs of [500, 5000]) {
		const fixture = openTask();
		const {task, store, clock} = fixture;
		const search = task.findController();
		await run(clock, 100);
		await search;
		await run(clock, 3000);
		store.faults.isDown = true;
		await run(clock, outageMs);
		store.loadCopy(outageMs + 1000);
		store.faults.isDown = false;
		await run(clock, 1500);
		const record = await readRecord(fixture);
		assert.equal(record.era, 2);
		assert.equal(record.mapsEra === 2, outageMs < 3000, `after an outage of ${outageMs} ms: maps of era ${record.mapsEra}`);
		assert.equal(record.earlierLeasesEndMs > clock.readTimestamp().monotonicMs + 20_000, outageMs > 3000);
		task.close();
	}
});

function createMemberHeartbeat(vmId: string, state: BackendState): MemberHeartbeat {
	return {
		vmId, incarnation: 'a', address: vmId, failureDomain: vmId, service: 's', epoch: 1, isStopping: false, routesVersion: 0, ordersVersion: 0, directoryVersion: '', mapVersions: {}, ended: [],
		backend: {
			key: `${vmId}/1`, id: vmId, service: 's', state, slots: 18, isCold: false, silentMs: 0, demand: 0.1, perS: 10, rangeLoads: [], assignmentVersion: '', stillHeld: [], released: [],
		},
	};
}

test('a new controller moves no keys to a server in a failure domain whose evacuation it does not know yet', async () => {
	let rules: OwnershipRules | undefined = {partitionedServices: new Set(['s']), evacuatedDomains: new Set(['b'])};
	const {task, clock, events} = openTask(() => rules);
	const search = task.findController();
	await run(clock, 100);
	await search;
	const runWith = async (stateOfA: BackendState, durationMs: number): Promise<void> => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
			task.handleHeartbeat(createMemberHeartbeat('a', stateOfA));
			task.handleHeartbeat(createMemberHeartbeat('b', 'ready'));
			await run(clock, 100);
		}
	};

	await runWith('ready', 3000);
	assert.ok(events.some(({kind}) => kind === 'maps-written'));
	rules = undefined;
	await runWith('draining', 2000);
	assert.deepEqual(events.filter(({kind}) => kind === 'moves-planned'), []);
	rules = {partitionedServices: new Set(['s']), evacuatedDomains: new Set()};
	await runWith('draining', 1000);
	assert.ok(events.some(({kind}) => kind === 'moves-planned'));
	task.close();
});

test('obsolete leave records are removed in several writes, since the store limits the entries of one, and recent ones are kept', async () => {
	const {task, store, clock} = openTask();
	const client = store.createClient('vm-1');
	const {wallMs} = clock.readTimestamp();
	const records = [...Array.from({length: 120}, (_, index) => ({
		vmId: 'a', id: `i-${index}`, bornMs: 1, leftAtMs: wallMs - 3_600_000,
	})), {
		vmId: 'a', id: 'recent', bornMs: 1, leftAtMs: wallMs,
	}];
	for (const record of records) {
		const written = client.commit({conditions: [], writes: [encodeLeaveRecord(record)]});
		clock.advance(10);
		await written;
	}

	const search = task.findController();
	await run(clock, 100);
	await search;
	await run(clock, 5000);
	const rows = await new Promise<readonly string[]>(resolve => {
		store.read('vm-2', cellTable, read => {
			resolve(read._unsafeUnwrap().rows.filter(({key}) => isLeaveKey(key)).map(({key}) => key));
		});
		clock.advance(10);
	});
	assert.deepEqual(rows, [encodeLeaveRecord(records.at(-1)!).key]);
	task.close();
});
