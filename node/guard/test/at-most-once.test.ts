import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {setImmediate as waitForEvents} from 'node:timers/promises';
import type {RequestResult} from '@buckthornpoint/types/requests.js';
import {
	createBench, createId, createReservation, FakeBackend, type GuardBench,
} from './fake-backend.js';

const skewMs = 1000;
let backend: FakeBackend;
let signal: AbortSignal;

beforeEach(async () => {
	backend = new FakeBackend();
	signal = new AbortController().signal;
	await backend.open();
});

afterEach(async () => {
	await backend.close();
});

function createCurrentId(bench: GuardBench, serial = 1): string {
	return createId(bench.clock.readTimestamp().wallMs, serial);
}

function assertAnswered(result: RequestResult): void {
	assert.equal(result.kind, 'answer');
}

async function waitUntilHeld(count: number): Promise<void> {
	while (backend.countHeld() < count) {
		await waitForEvents();
	}
}

test('a request id that is sent again during and after its execution gets the same answer and is executed once', async () => {
	const bench = createBench(backend, {incarnation: 'a'});
	const reservation = createReservation(createCurrentId(bench), 'a');
	backend.chooseBehaviour = () => 'hold';
	const first = bench.guard.handle(reservation, signal);
	await waitUntilHeld(1);
	const second = bench.guard.handle({...reservation, attempt: 2}, signal);
	backend.release();
	assert.deepEqual(await second, await first);
	assert.deepEqual(await bench.guard.handle({...reservation, attempt: 3}, signal), await first);
	assertAnswered(await first);
	assert.equal(backend.runs.get(reservation.requestId), 1);
	await bench.guard.close();
});

test('an attempt for another instance of the node is refused and not executed', async () => {
	const bench = createBench(backend, {incarnation: 'a'});
	const result = await bench.guard.handle(createReservation(createCurrentId(bench), 'older'), signal);
	assert.ok(result.kind === 'failure' && result.outcome === 'not-run' && result.reason === 'incarnation-mismatch');
	assert.equal(backend.runs.size, 0);
	await bench.guard.close();
});

test('a lost answer is an unknown outcome, also for later attempts with the same id', async () => {
	const bench = createBench(backend, {incarnation: 'a'});
	const reservation = createReservation(createCurrentId(bench), 'a');
	backend.chooseBehaviour = () => 'lose-answer';
	for (const attempt of [1, 2]) {
		const result = await bench.guard.handle({...reservation, attempt}, signal);
		assert.ok(result.kind === 'failure' && result.outcome === 'outcome-unknown');
	}

	assert.equal(backend.runs.get(reservation.requestId), 1);
	await bench.guard.close();
});

test('a refusal by the backend server proves that the request did not run, and a later attempt may run', async () => {
	const bench = createBench(backend, {incarnation: 'a'});
	const reservation = createReservation(createCurrentId(bench), 'a');
	backend.chooseBehaviour = () => 'refuse';
	const refused = await bench.guard.handle(reservation, signal);
	assert.ok(refused.kind === 'failure' && refused.outcome === 'not-run');
	backend.chooseBehaviour = () => 'answer';
	assertAnswered(await bench.guard.handle({...reservation, attempt: 2}, signal));
	await bench.guard.close();
});

test('after an outcome query for a request that was not seen, the request is refused', async () => {
	const bench = createBench(backend, {incarnation: 'a', grant: {ownedSince: {monotonicMs: -skewMs, wallMs: 0}}});
	const requestId = createCurrentId(bench);
	const report = await bench.guard.findOutcome({
		requestId, partition: {service: 'rezervacie', partition: 3}, attempt: 1, targetIncarnation: 'a', remainingHops: 0,
	}, signal);
	assert.equal(report.state, 'never-seen');
	const late = await bench.guard.handle(createReservation(requestId, 'a'), signal);
	assert.ok(late.kind === 'failure' && late.outcome === 'not-run');
	assert.equal(backend.runs.size, 0);
	await bench.guard.close();
});

test('a new owner does not execute a request that a failed earlier owner may have executed', async () => {
	const first = createBench(backend, {incarnation: 'a'});
	const reservation = createReservation(createCurrentId(first), 'a');
	await first.guard.handle(reservation, signal);
	first.clock.advance(skewMs);
	const second = createBench(backend, {incarnation: 'b', clock: first.clock, grant: {predecessor: {node: {vmId: 'a', incarnation: 'a'}, released: false}}});
	const result = await second.guard.handle(createReservation(reservation.requestId, 'b', {attempt: 2}), signal);
	assert.ok(result.kind === 'failure' && result.outcome === 'outcome-unknown');
	second.clock.advance(skewMs);
	assertAnswered(await second.guard.handle(createReservation(createCurrentId(second, 2), 'b'), signal));
	assert.equal(backend.runs.get(reservation.requestId), 1);
	await first.guard.close();
	await second.guard.close();
});

test('a new owner queries the owner that released the partition, and executes only requests that were never seen there', async () => {
	const first = createBench(backend, {incarnation: 'a', grant: {ownedSince: {monotonicMs: -skewMs, wallMs: 0}}});
	const ran = createReservation(createCurrentId(first), 'a');
	const unseen = createCurrentId(first, 2);
	await first.guard.handle(ran, signal);
	first.clock.advance(skewMs);
	const second = createBench(backend, {
		incarnation: 'b',
		clock: first.clock,
		grant: {predecessor: {node: {vmId: 'a', incarnation: 'a'}, released: true}},
		queryOutcome: async (_node, query, querySignal) => first.guard.findOutcome(query, querySignal),
	});
	const again = await second.guard.handle(createReservation(ran.requestId, 'b', {attempt: 2}), signal);
	assert.ok(again.kind === 'failure' && again.outcome === 'outcome-unknown');
	assertAnswered(await second.guard.handle(createReservation(unseen, 'b'), signal));
	const late = await first.guard.handle(createReservation(unseen, 'a', {attempt: 9}), signal);
	assert.ok(late.kind === 'failure');
	assert.deepEqual([...backend.runs.values()], [1, 1]);
	await first.guard.close();
	await second.guard.close();
});

test('a request whose lease ends while it runs is cancelled with an unknown outcome', async () => {
	const bench = createBench(backend, {incarnation: 'a'});
	backend.chooseBehaviour = () => 'hold';
	const running = bench.guard.handle(createReservation(createCurrentId(bench), 'a', {remainingMs: 100_000}), signal);
	await waitUntilHeld(1);
	bench.clock.advance(60_001);
	const result = await running;
	assert.ok(result.kind === 'failure' && result.outcome === 'outcome-unknown' && result.reason === 'lease-not-held');
	const next = await bench.guard.handle(createReservation(createCurrentId(bench, 2), 'a'), signal);
	assert.ok(next.kind === 'failure' && next.outcome === 'not-run' && next.reason === 'lease-not-held');
	await bench.guard.close();
});

test('a partition that is handed over finishes its running requests, admits no new ones and is then reported as drained', async () => {
	const bench = createBench(backend, {incarnation: 'a'});
	backend.chooseBehaviour = () => 'hold';
	const running = bench.guard.handle(createReservation(createCurrentId(bench), 'a'), signal);
	await waitUntilHeld(1);
	const view = bench.ownership.read();
	bench.ownership.publish({...view, grants: new Map([...view.grants].map(([key, grant]) => [key, {...grant, releasing: true}]))});
	const refused = await bench.guard.handle(createReservation(createCurrentId(bench, 2), 'a'), signal);
	assert.ok(refused.kind === 'failure' && refused.outcome === 'not-run');
	assert.equal(bench.drained.length, 0);
	backend.release();
	assertAnswered(await running);
	assert.equal(bench.drained.length, 1);
	await bench.guard.close();
});

test('a request that waited past the end of the lease, while the monotonic clock was suspended, is not sent to the backend server', async () => {
	const bench = createBench(backend, {incarnation: 'a'});
	backend.chooseBehaviour = () => 'hold';
	const serials = [1, 2, 3, 4, 5];
	const results = serials.map(async serial => bench.guard.handle(createReservation(createCurrentId(bench, serial), 'a'), signal));
	await waitUntilHeld(4);
	bench.clock.advanceWallOnly(60_001);
	backend.release();
	const last = await results[4];
	assert.ok(last?.kind === 'failure' && last.outcome === 'not-run' && last.reason === 'lease-not-held');
	assert.equal(backend.runs.size, 4);
	await bench.guard.close();
});
