import assert from 'node:assert/strict';
import test from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {
	FleetStore, type CommitResult, type Snapshot, type TableChanges,
} from '@buckthornpoint/fleet/fleet-store.js';
import type {StoreFailure} from '@buckthornpoint/table-store/table-store.js';
import {okAsync, ResultAsync} from 'neverthrow';
import {RoutesTask, type OperatorChange} from '../src/routes-task.js';

/** A store with two orders of evacuation, and no changes. */
class ConstantStore extends FleetStore {
	override readonly era = 1;
	reads = 0;

	override readTable(): ResultAsync<Snapshot, StoreFailure> {
		this.reads++;
		return okAsync({
			version: 5, nowMs: 0, era: 1, rows: ['a', 'b'].map((domain, index) => ({
				table: 'op', key: `evacuate/${domain}`, value: '{}', version: 4 + index,
			})),
		});
	}

	override watchTable(): ResultAsync<TableChanges, StoreFailure> {
		return new ResultAsync(new Promise(() => {
			// Nothing changes.
		}));
	}

	override commit(): ResultAsync<CommitResult, StoreFailure> {
		throw new Error('RoutesTask does not write to the store');
	}

	override async close(): Promise<void> {
		// There are no resources to release.
	}
}

// The watch of the operator's rows ended for good with the first error of the code that applies them, and no change was applied any more.
test('a row that could not be applied is applied later, and the others at once', async () => {
	const clock = new ManualClock();
	const store = new ConstantStore();
	const problems: string[] = [];
	const applied: string[] = [];
	let failures = 1;
	const task = new RoutesTask({
		store,
		clock,
		random: new SeededRandom(1),
		isFollowing: () => false,
		waitForLaterRoutes: async () => undefined,
		listEvacuated: () => [],
		onChange(change: OperatorChange) {
			if (change.kind === 'evacuation' && change.domain === 'a' && failures > 0) {
				failures--;
				throw new Error('the change was not applied');
			}

			if (change.kind === 'evacuation') {
				applied.push(change.domain);
			}
		},
		onProblem(problem) {
			problems.push(problem);
		},
	});
	void task.run();
	await setImmediate();
	assert.deepEqual([applied, problems.length], [['b'], 1]);
	clock.advance(1000);
	await setImmediate();
	assert.deepEqual([applied, problems.length, store.reads], [['b', 'a'], 1, 2]);
	task.close();
});
