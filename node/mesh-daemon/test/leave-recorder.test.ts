import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import test from 'node:test';
import type {Leave} from '@buckthornpoint/backend-link/backend-registration.js';
import {decodeLeaveRecords} from '@buckthornpoint/cell-link/leave-record.js';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {createFailure, type RowTransaction} from '@buckthornpoint/fleet/fleet-store.js';
import {SilentLog} from '@buckthornpoint/log/reporters.js';
import {errAsync, okAsync} from 'neverthrow';
import {LeaveRecorder} from '../src/leave-recorder.js';

const leave: Leave = {id: 'i-1', bornMs: 7, leftAtMs: 1_700_000_000_000};
const key = 'i-1/7';

type Fixture = {readonly recorder: LeaveRecorder; readonly clock: ManualClock; readonly written: RowTransaction[]; readonly store: {isDown: boolean}};

function createRecorder({isDown = false, isLeading = false} = {}): Fixture {
	const clock = new ManualClock();
	const written: RowTransaction[] = [];
	const store = {isDown};
	const recorder = new LeaveRecorder({
		vmId: 'vm-1', clock, random: new SeededRandom(1), log: new SilentLog(), isLeading: () => isLeading,
		store: {
			commit(transaction) {
				if (store.isDown) {
					return errAsync(createFailure('unavailable', 'down'));
				}

				written.push(transaction);
				return okAsync({version: 1, nowMs: 0, era: 1});
			},
		},
	});
	return {
		recorder, clock, written, store,
	};
}

/** Advances the clock until the call has ended. Returns its result, and how long it took. */
async function waitForResult(call: Promise<boolean>, clock: ManualClock): Promise<readonly [isRecorded: boolean, tookMs: number]> {
	let result: boolean | undefined;
	void call.then(value => {
		result = value;
	});
	for (let passedMs = 0; passedMs <= 2000; passedMs += 10) {
		await setImmediate();
		if (result !== undefined) {
			return [result, passedMs];
		}

		clock.advance(10);
	}

	throw new Error('the call did not end');
}

test('an announcement is in the store before it is acknowledged, so that a process started after a kill finds it', async () => {
	const {recorder, clock, written} = createRecorder({isLeading: true});
	assert.deepEqual(await waitForResult(recorder.record(leave), clock), [true, 0]);
	const rows = written.flatMap(({writes}) => writes.map(row => ({...row, version: 1})));
	assert.deepEqual(decodeLeaveRecords(rows, leave.leftAtMs).records, [{vmId: 'vm-1', ...leave}]);
	assert.deepEqual(decodeLeaveRecords(rows, leave.leftAtMs + 3_600_000), {records: [], obsolete: rows});
});

test('repeated announcements of an instance are written once', async () => {
	const {recorder, clock, written} = createRecorder({isLeading: true});
	for (let heartbeat = 0; heartbeat < 5; heartbeat++) {
		const [isRecorded] = await waitForResult(recorder.record(leave), clock);
		assert.equal(isRecorded, true);
	}

	assert.equal(written.length, 1);
});

test('while the store is down, an announcement is acknowledged once the controller on another VM lists it, and not before', async () => {
	const {recorder, clock, written, store} = createRecorder({isDown: true});
	const [isRecorded, tookMs] = await waitForResult(recorder.record(leave), clock);
	assert.equal(isRecorded, false);
	assert.ok(tookMs < 1000, 'the server waits a second for the answer');
	const repeated = recorder.record(leave);
	recorder.recordConfirmed([key]);
	const [isRepetitionRecorded] = await waitForResult(repeated, clock);
	assert.equal(isRepetitionRecorded, true);
	assert.equal(written.length, 0);
	store.isDown = false;
	await waitForResult(clock.sleep(1500).then(() => true), clock);
	assert.equal(written.length, 1, 'the store gets it when it is back');
});

test('an announcement is written again when the store returns from a copy that may lack it', async () => {
	const {recorder, clock, written} = createRecorder({isLeading: true});
	await waitForResult(recorder.record(leave), clock);
	recorder.writeAgain();
	await setImmediate();
	assert.equal(written.length, 2);
});

test('heartbeats after an acknowledged announcement are answered at once while the store is down, so that keys are renewed and move on', async () => {
	const {recorder, clock} = createRecorder({isDown: true});
	const first = recorder.record(leave);
	recorder.recordConfirmed([key]);
	const [isRecorded] = await waitForResult(first, clock);
	assert.equal(isRecorded, true);
	assert.deepEqual(await waitForResult(recorder.record(leave), clock), [true, 0]);
});
