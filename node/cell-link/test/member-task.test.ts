import assert from 'node:assert/strict';
import test from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {LeaseClock} from '@buckthornpoint/clock/lease-clock.js';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import type {HeartbeatReply, MemberHeartbeat} from '@buckthornpoint/key-ranges/messages.js';
import {MemberTask} from '../src/member-task.js';

const reply: HeartbeatReply = {
	epoch: 5, leaseMs: 0, assignmentVersion: '', directoryVersion: '', isDirectoryComplete: true, isStoreReached: true,
};

const heartbeat: MemberHeartbeat = {
	vmId: 'vm-1', incarnation: 'run-1', address: 'here', failureDomain: 'a', service: 's', epoch: 5, isStopping: false,
	routesVersion: 0, ordersVersion: 0, directoryVersion: '', mapVersions: {}, ended: [],
};

type Fixture = {readonly task: MemberTask; readonly clock: ManualClock; readonly calls: string[]; readonly appliedSentMs: number[]; searches: number};

/** A member whose controller lookups find nothing. The node at `controller` answers heartbeats. */
function openTask({nodes = 10, controller = 'none', answerDelayMs = 0, isStoreSilent = false} = {}): Fixture {
	const clock = new ManualClock();
	const calls: string[] = [];
	const appliedSentMs: number[] = [];
	const fixture: Fixture = {
		clock, calls, appliedSentMs, searches: 0, task: new MemberTask({
			address: 'here',
			control: {
				isLeading: false,
				async findController() {
					fixture.searches++;
					if (isStoreSilent) {
						await clock.sleep(60_000);
					}

					return undefined;
				},
				handleHeartbeat: () => undefined,
			},
			links: {
				async call(address, _meta, timeoutMs, onLate) {
					calls.push(address);
					const answer = address === controller ? {reply} : {};
					if (answerDelayMs <= timeoutMs) {
						return answer;
					}

					clock.startTimer(answerDelayMs, () => {
						onLate?.(answer);
					});
					await clock.sleep(timeoutMs);
					return undefined;
				},
			},
			clock,
			leaseClock: new LeaseClock(clock),
			random: new SeededRandom(1),
			createHeartbeat: () => heartbeat,
			applyReply(_reply, sentMs) {
				appliedSentMs.push(sentMs);
			},
			onEvent: () => undefined,
			getEpoch: () => 5,
			countNodes: () => nodes,
		}),
	};
	return fixture;
}

async function run(clock: ManualClock, durationMs: number): Promise<void> {
	for (let passedMs = 0; passedMs < durationMs; passedMs += 20) {
		clock.advance(20);
		await setImmediate();
	}
}

test('the total rate of controller lookups hardly grows with the size of the fleet', async () => {
	const counts = await Promise.all([10, 200].map(async nodes => {
		const fixture = openTask({nodes});
		fixture.task.start();
		await run(fixture.clock, 20_000);
		fixture.task.close();
		return fixture.searches * nodes;
	}));
	assert.ok(counts[0]! > 100);
	assert.ok(counts[1]! < 6 * counts[0]!, `${counts[1]} lookups by 200 nodes, ${counts[0]} by 10`);
});

test('a node that is notified of a new controller follows it immediately, without a lookup', async () => {
	const fixture = openTask({controller: 'there'});
	fixture.task.start();
	await run(fixture.clock, 20);
	const {searches} = fixture;
	fixture.task.handleNotice({controller: {address: 'there', epoch: 5}});
	await run(fixture.clock, 60);
	assert.deepEqual(fixture.calls, ['there']);
	assert.ok(fixture.task.isFollowing);
	assert.equal(fixture.searches, searches);
	fixture.task.close();
});

test('a reply that a saturated link delays counts from when its heartbeat was sent', async () => {
	const fixture = openTask({controller: 'there', answerDelayMs: 1000});
	fixture.task.start();
	fixture.task.handleNotice({controller: {address: 'there', epoch: 5}});
	await run(fixture.clock, 3000);
	assert.ok(fixture.appliedSentMs.length > 0);
	assert.ok(fixture.appliedSentMs.every(sentMs => sentMs <= 2000));
	fixture.task.close();
});

test('a lookup that waits for an unresponsive store does not delay heartbeats', async () => {
	const fixture = openTask({controller: 'there', isStoreSilent: true});
	fixture.task.handleNotice({controller: {address: 'there', epoch: 5}});
	await run(fixture.clock, 100);
	fixture.calls.length = 0;
	fixture.task.handleNotice({controller: {address: 'nowhere', epoch: 5}});
	await run(fixture.clock, 6000);
	assert.ok(fixture.searches > 0, 'a controller that does not reply is looked up again');
	assert.ok(fixture.calls.length > 8, `${fixture.calls.length} heartbeats in 6 s`);
	fixture.task.close();
});

test('a notice that names a controller of an earlier epoch is ignored', async () => {
	const fixture = openTask({controller: 'there'});
	fixture.task.start();
	fixture.task.handleNotice({controller: {address: 'there', epoch: 4}});
	await run(fixture.clock, 60);
	assert.deepEqual(fixture.calls, []);
	fixture.task.close();
});
