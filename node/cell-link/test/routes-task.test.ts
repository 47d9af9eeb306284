import assert from 'node:assert/strict';
import test from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import {
	FleetStore, type TableChanges, type CommitResult, type Snapshot, type WatchOpts,
} from '@buckthornpoint/fleet/fleet-store.js';
import type {StoreFailure} from '@buckthornpoint/table-store/table-store.js';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {RoutesTask, type OperatorChange} from '../src/routes-task.js';

type Answer<T> = (result: Result<T, StoreFailure>) => void;

/** A store whose calls stay pending until the test answers them. */
class ScriptedStore extends FleetStore {
	/** The era that the answers show. */
	currentEra = 1;
	readonly reads: Array<Answer<Snapshot>> = [];
	readonly watches: Array<{readonly after: number; readonly waitMs: number; readonly answer: Answer<TableChanges>}> = [];

	override get era(): number {
		return this.currentEra;
	}

	override readTable(): ResultAsync<Snapshot, StoreFailure> {
		return new ResultAsync(new Promise(resolve => {
			this.reads.push(resolve);
		}));
	}

	override watchTable(_table: string, after: number, {signal, waitMs}: WatchOpts): ResultAsync<TableChanges, StoreFailure> {
		return new ResultAsync(new Promise(resolve => {
			this.watches.push({after, waitMs, answer: resolve});
			signal?.addEventListener('abort', () => {
				resolve(err(failure));
			});
		}));
	}

	override commit(): ResultAsync<CommitResult, StoreFailure> {
		throw new Error('RoutesTask does not write to the store');
	}

	override async close(): Promise<void> {
		// There are no resources to release.
	}
}

const failure: StoreFailure = {kind: 'unavailable', error: new BuckthornpointError('ERR_STORE_UNAVAILABLE', 'away')};

function createSnapshot(version: number, rows: ReadonlyArray<readonly [key: string, value: string | undefined, version: number]>, era = 1): Snapshot {
	return {
		version, nowMs: 0, era, rows: rows.map(([key, value, rowVersion]) => ({
			table: 'op', key, value, version: rowVersion,
		})),
	};
}

type Fixture = {readonly store: ScriptedStore; readonly clock: ManualClock; readonly task: RoutesTask; readonly changes: OperatorChange[]};

async function waitForNothing(): Promise<void> {
	// No other node has routes.
}

function openTask(isFollowing = () => false, waitForLaterRoutes = waitForNothing): Fixture {
	const store = new ScriptedStore();
	const clock = new ManualClock();
	const changes: OperatorChange[] = [];
	const evacuated = new Set<string>();
	const task = new RoutesTask({
		store,
		clock,
		random: new SeededRandom(1),
		isFollowing,
		waitForLaterRoutes,
		listEvacuated: () => [...evacuated],
		onChange(change) {
			if (change.kind === 'evacuation' && change.isEvacuated) {
				evacuated.add(change.domain);
			} else if (change.kind === 'evacuation') {
				evacuated.delete(change.domain);
			}

			changes.push(change);
		},
		onProblem(problem) {
			assert.fail(problem);
		},
	});
	void task.run();
	return {
		store, clock, task, changes,
	};
}

function listEvacuations(changes: readonly OperatorChange[]): ReadonlyArray<readonly [string, boolean]> {
	return changes.flatMap(change => change.kind === 'evacuation' ? [[change.domain, change.isEvacuated] as const] : []);
}

test('each row is applied once, in the order of versions, and an older row does not override a newer one', async () => {
	const {store, task, changes} = openTask();
	store.reads[0]?.(ok(createSnapshot(5, [['evacuate/a', '{}', 4]])));
	await setImmediate();
	store.watches[0]?.answer(ok({kind: 'changed', snapshot: createSnapshot(7, [['evacuate/a', undefined, 3], ['evacuate/b', '{}', 7]])}));
	await setImmediate();
	assert.deepEqual(listEvacuations(changes), [['a', true], ['b', true]]);
	assert.equal(store.watches[1]?.after, 7);
	task.close();
});

test('after the store lost the history all rows are read again, and missing rows count as removed', async () => {
	const {store, task, changes} = openTask();
	store.reads[0]?.(ok(createSnapshot(5, [['evacuate/a', '{}', 4]])));
	await setImmediate();
	store.watches[0]?.answer(ok({kind: 'history-lost'}));
	await setImmediate();
	store.reads[1]?.(ok(createSnapshot(9, [])));
	await setImmediate();
	assert.deepEqual(listEvacuations(changes), [['a', true], ['a', false]]);
	task.close();
});

test('refresh restarts a watch, which may hang on a dead connection after an outage of the store', async () => {
	const {store, task, changes} = openTask();
	store.reads[0]?.(ok(createSnapshot(5, [])));
	await setImmediate();
	task.refresh();
	await setImmediate();
	assert.deepEqual(store.watches.map(({after}) => after), [5, 5]);
	assert.equal(changes.some(({kind}) => kind === 'store-failed'), false);
	task.close();
});

test('a node that follows a controller polls the store rarely, and one that does not polls often enough to detect a dead connection', async () => {
	let isFollowing = true;
	const {store, task} = openTask(() => isFollowing);
	store.reads[0]?.(ok(createSnapshot(5, [])));
	await setImmediate();
	isFollowing = false;
	task.refresh();
	await setImmediate();
	const [following, alone] = store.watches.map(({waitMs}) => waitMs);
	assert.ok(following! >= 20_000, `${following} ms`);
	assert.ok(alone! <= 3000, `${alone} ms`);
	task.close();
});

test('consecutive failures are reported once, and the store is queried again after a delay', async () => {
	const {store, clock, task, changes} = openTask();
	store.reads[0]?.(err(failure));
	await setImmediate();
	assert.equal(store.reads.length, 1);
	clock.advance(400);
	await setImmediate();
	store.reads[1]?.(err(failure));
	await setImmediate();
	clock.advance(400);
	await setImmediate();
	store.reads[2]?.(ok(createSnapshot(1, [])));
	await setImmediate();
	assert.deepEqual(changes.map(({kind}) => kind), ['store-failed', 'store-regained', 'caught-up']);
	task.close();
});

test('a node that the store refuses retries rarely if it follows a controller, and often if not', async () => {
	const counts = await Promise.all([true, false].map(async isFollowing => {
		const {store, clock, task} = openTask(() => isFollowing);
		for (let passedMs = 0; passedMs < 20_000; passedMs += 50) {
			store.reads.at(-1)?.(err(failure));
			await setImmediate();
			clock.advance(50);
			await setImmediate();
		}

		task.close();
		return store.reads.length;
	}));
	assert.ok(counts[0]! < 12, `${counts[0]} calls in 20 s with a controller`);
	assert.ok(counts[1]! > 30, `${counts[1]} calls without`);
});

test('a configuration that cannot be decoded is reported and not applied', async () => {
	const {store, task, changes} = openTask();
	store.reads[0]?.(ok(createSnapshot(2, [['config', '{"version":"r1"', 1]])));
	await setImmediate();
	assert.deepEqual(changes.map(({kind}) => kind), ['invalid', 'caught-up']);
	task.close();
});

function createConfiguration(version: number): string {
	return JSON.stringify({
		version: `r${version}`, resources: [{
			resource_type: 'limits', metadata: {}, spec: { // eslint-disable-line @typescript-eslint/naming-convention
				header_bytes: 1, body_bytes: 1, header_timeout_s: 1, idle_timeout_s: 1, // eslint-disable-line @typescript-eslint/naming-convention
			},
		}],
	});
}

function listRouteVersions(changes: readonly OperatorChange[]): readonly number[] {
	return changes.flatMap(change => change.kind === 'routes' ? [change.table.version] : []);
}

test('a change that was acknowledged after the store returned from an older copy is not ignored because of its lower row version', async () => {
	const {store, task, changes} = openTask();
	store.reads[0]?.(ok(createSnapshot(40, [['config', createConfiguration(13), 40]])));
	await setImmediate();
	store.currentEra = 2;
	store.watches[0]?.answer(ok({kind: 'history-lost'}));
	await setImmediate();
	store.reads[1]?.(ok(createSnapshot(20, [['config', createConfiguration(6), 18]], 2)));
	await setImmediate();
	store.watches[1]?.answer(ok({kind: 'changed', snapshot: createSnapshot(22, [['config', createConfiguration(16), 22]], 2)}));
	await setImmediate();
	assert.equal(listRouteVersions(changes).at(-1), 16);
	task.close();
});

test('a change below the position of the feed is not missed when the store returned from a copy and reached that position again', async () => {
	const {store, task, changes} = openTask();
	store.reads[0]?.(ok(createSnapshot(40, [['config', createConfiguration(13), 40]])));
	await setImmediate();
	store.currentEra = 2;
	store.watches[0]?.answer(ok({kind: 'changed', snapshot: createSnapshot(41, [], 2)}));
	await setImmediate();
	store.reads[1]?.(ok(createSnapshot(41, [['config', createConfiguration(16), 39]], 2)));
	await setImmediate();
	assert.equal(listRouteVersions(changes).at(-1), 16);
	task.close();
});

test('an evacuation that the copy lacks holds until the operator writes it again, or until the retention ends', async () => {
	for (const isWrittenAgain of [true, false]) {
		const {store, clock, task, changes} = openTask();
		store.reads[0]?.(ok(createSnapshot(40, [['evacuate/a', '{}', 40]])));
		await setImmediate();
		store.currentEra = 2;
		store.watches[0]?.answer(ok({kind: 'history-lost'}));
		await setImmediate();
		store.reads[1]?.(ok(createSnapshot(20, [], 2)));
		await setImmediate();
		assert.deepEqual(listEvacuations(changes), [['a', true]]);
		assert.deepEqual(task.listRetained().map(({domain}) => domain), ['a']);
		store.watches[1]?.answer(ok({kind: 'changed', snapshot: createSnapshot(21, isWrittenAgain ? [['evacuate/a', '{}', 21]] : [], 2)}));
		await setImmediate();
		clock.advance(11_000);
		await setImmediate();
		assert.equal(listEvacuations(changes).at(-1)?.[1], isWrittenAgain);
		task.close();
	}
});

test('an evacuation that ended is not taken up again from the copy, but one that is ordered after the return is', async () => {
	for (const rowVersion of [30, 36]) {
		const {store, task, changes} = openTask();
		store.reads[0]?.(ok(createSnapshot(30, [['evacuate/a', '{}', 30]])));
		await setImmediate();
		store.watches[0]?.answer(ok({kind: 'changed', snapshot: createSnapshot(40, [['evacuate/a', undefined, 40]])}));
		await setImmediate();
		store.currentEra = 2;
		store.watches[1]?.answer(ok({kind: 'history-lost'}));
		await setImmediate();
		store.reads[1]?.(ok(createSnapshot(36, [['evacuate/a', '{}', rowVersion]], 2)));
		await setImmediate();
		assert.equal(listEvacuations(changes).at(-1)?.[1], rowVersion === 36, `row version ${rowVersion}`);
		store.currentEra = 3;
		store.watches[2]?.answer(ok({kind: 'history-lost'}));
		await setImmediate();
		store.reads[2]?.(ok(createSnapshot(36, [['evacuate/a', '{}', rowVersion]], 3)));
		await setImmediate();
		assert.equal(listEvacuations(changes).at(-1)?.[1], rowVersion === 36, `row version ${rowVersion}, after another return`);
		task.close();
	}
});

test('a node that started after the return keeps an evacuation that another node knows', async () => {
	const {store, task, changes} = openTask();
	store.reads[0]?.(ok(createSnapshot(20, [], 2)));
	await setImmediate();
	task.addRetained([{domain: 'a', remainingMs: 5000}]);
	assert.deepEqual(listEvacuations(changes), [['a', true]]);
	task.close();
});

test('a node that starts after a return of the store does not serve the older configuration of the copy before other nodes could send a later one', async () => {
	const waited = new AbortController();
	const {store, task, changes} = openTask(undefined, async () => new ManualClock().sleep(1000, waited.signal));
	store.reads[0]?.(ok(createSnapshot(20, [['config', createConfiguration(6), 18]], 2)));
	await setImmediate();
	assert.deepEqual(listRouteVersions(changes), []);
	waited.abort();
	await setImmediate();
	assert.deepEqual(listRouteVersions(changes), [6]);
	task.close();
});
