import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createConnection} from 'node:net';
import test from 'node:test';
import {setImmediate as waitForTurn, setTimeout as sleep} from 'node:timers/promises';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {ArrivalClock} from '../src/arrival-clock.js';
import {TurnQueue} from '../src/turn-queue.js';
import {openFixture, timeoutMs} from './caller-fixture.js';

function runBusyLoop(durationMs: number): void {
	const endMs = performance.now() + durationMs;
	while (performance.now() < endMs) {
		// The process handles nothing else meanwhile.
	}
}

// The requests of a burst were all started in one turn of the event loop; answers that were due waited for all of them.
test('tasks beyond the time of a turn wait for later turns, and one that throws does not hold up the others', async () => {
	const run: number[] = [];
	const queue = new TurnQueue({clock: new SystemClock(), maxMsPerTurn: 5});
	for (let index = 0; index < 4; index++) {
		queue.add(() => {
			run.push(index);
			runBusyLoop(6);
		});
	}

	assert.deepEqual(run, [0]);
	await waitForTurn();
	assert.ok(run.length < 4, `${run.length} in the second turn`);
	while (queue.size > 0) {
		await waitForTurn();
	}

	assert.deepEqual(run, [0, 1, 2, 3]);
	await waitForTurn();
	assert.throws(() => {
		queue.add(() => {
			throw new Error('the task fails');
		});
	}, /the task fails/v);
	queue.add(() => {
		run.push(4);
	});
	await waitForTurn();
	assert.deepEqual(run, [0, 1, 2, 3, 4]);
});

test('tasks that are held back begin once they no longer are', async () => {
	let isHeldBack = true;
	let emptied = 0;
	const queue = new TurnQueue({
		clock: new ManualClock(), maxMsPerTurn: 5, isHeldBack: () => isHeldBack, onEmpty() {
			emptied++;
		},
	});
	queue.add(() => undefined);
	await waitForTurn();
	assert.equal(queue.size, 1);
	isHeldBack = false;
	await waitForTurn();
	await waitForTurn();
	assert.deepEqual([queue.size, emptied], [0, 1]);
});

test('the task that was added last runs first, and the oldest can be dropped', async () => {
	let isHeldBack = true;
	const run: number[] = [];
	const queue = new TurnQueue({
		clock: new ManualClock(), maxMsPerTurn: 5, isNewestFirst: true, isHeldBack: () => isHeldBack,
	});
	for (let index = 0; index < 4; index++) {
		queue.add(() => {
			run.push(index);
		});
	}

	queue.removeOldest();
	isHeldBack = false;
	await waitForTurn();
	await waitForTurn();
	assert.deepEqual([run, queue.size], [[3, 2, 1], 0]);
});

test('tasks that wait in order run once each, however many there are', async () => {
	const run: number[] = [];
	let isHeldBack = true;
	const queue = new TurnQueue({clock: new ManualClock(), maxMsPerTurn: 5, isHeldBack: () => isHeldBack});
	const expected = Array.from({length: 3000}, (_each, index) => index);
	for (const index of expected) {
		queue.add(() => {
			run.push(index);
		});
	}

	isHeldBack = false;
	await waitForTurn();
	await waitForTurn();
	assert.deepEqual(run, expected);
});

// The time-out of a request began when it was read, however long it had waited; its caller was held for both.
test('bytes that are read after a long turn count from the turn in which they may have arrived', () => {
	const clock = new ManualClock();
	let idleMs = 0;
	const arrivals = new ArrivalClock(clock, () => idleMs);
	const startMs = clock.readTimestamp().monotonicMs;
	const wait = (durationMs: number): void => {
		clock.advance(durationMs);
		idleMs += durationMs;
	};

	wait(40);
	assert.equal(arrivals.estimateEarliestMs(), startMs + 40, 'the loop waited for them');
	clock.advance(30);
	arrivals.recordTurn();
	clock.advance(5);
	assert.equal(arrivals.estimateEarliestMs(), startMs + 40, 'they arrived while the turn before was handled');
	arrivals.recordTurn();
	wait(20);
	assert.equal(arrivals.estimateEarliestMs(), startMs + 95);
	arrivals.close();
});

test('bytes that are read after the process did not run may have arrived before', () => {
	const clock = new ManualClock();
	let idleMs = 0;
	const arrivals = new ArrivalClock(clock, () => idleMs);
	arrivals.recordTurn();
	arrivals.close();
	clock.advance(2000);
	idleMs += 2000;
	assert.equal(arrivals.estimateEarliestMs(), 0);
});

test('a request that waited unread for its whole time-out is refused at once and not started', async t => {
	const {server, routed, finished} = await openFixture(t);
	const socket = createConnection({host: '127.0.0.1', port: server.getPort()});
	await once(socket, 'connect');
	await sleep(200);
	socket.write('GET /x/1 HTTP/1.1\r\nhost: a.example\r\nbuckthornpoint-request-id: late\r\n\r\n');
	await waitForTurn();
	runBusyLoop(timeoutMs + 100);
	const events: unknown[] = await once(socket, 'data');
	assert.match(String(events[0]), /^HTTP\/1\.1 503 /v);
	assert.equal(routed.length, 0);
	assert.equal(finished[0]?.reason, 'held-up');
	socket.destroy();
});

// One connection is accepted in each turn of the event loop. Each waited for the requests of all before it, and callers left before.
test('the connections of a burst are accepted before their requests are handled', async t => {
	const {server, routed} = await openFixture(t, {maxConnections: 1000});
	const sockets = Array.from({length: 200}, (_each, index) => {
		const socket = createConnection({host: '127.0.0.1', port: server.getPort()});
		socket.on('error', () => undefined);
		socket.write(`GET /x/1 HTTP/1.1\r\nhost: a.example\r\nbuckthornpoint-request-id: burst-${index}\r\n\r\n`);
		return socket;
	});
	t.after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const acceptedMs: number[] = [];
	const startedMs: number[] = [];
	while (startedMs.length < sockets.length) {
		await waitForTurn();
		const nowMs = performance.now();
		while (acceptedMs.length < server.acceptedConnections) {
			acceptedMs.push(nowMs);
		}

		for (; startedMs.length < routed.length; startedMs.push(nowMs)) {
			// Each request takes a while, as it does on a small VM.
			runBusyLoop(2);
		}
	}

	assert.ok(acceptedMs.at(-1)! < startedMs[Math.floor(sockets.length / 2)]!, 'half of the requests were started before the last connection was accepted');
});
