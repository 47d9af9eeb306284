import assert from 'node:assert/strict';
import test from 'node:test';
import {HeldKeys} from '@buckthornpoint/fleet-stand-in/held-keys.js';
import {Disruptions} from '../src/disruptions.js';
import {SharedHolds} from '../src/shared-holds.js';

test('two servers that hold the same keys for more than half a second are a violation, unless the test itself stood still', () => {
	for (const [durationMs, count] of [[500, 0], [600, 1]] as const) {
		const holders = ['a', 'b'].map(id => ({id, service: 's', held: new HeldKeys()}));
		holders[0]!.held.applyGrant([[0, 99, 1, '']], 100_000, 0);
		holders[1]!.held.applyGrant([[50, 200, 2, '']], 1000 + durationMs, 0);
		const shared = new SharedHolds();
		for (let nowMs = 1000; nowMs < 3000; nowMs += 50) {
			shared.record(holders, nowMs);
		}

		assert.equal(shared.listViolations([]).length, count === 0 ? 0 : 1, `${durationMs} ms`);
		const stall = new Disruptions();
		stall.open('driver', 900).close(950);
		assert.deepEqual(shared.listViolations([stall]), []);
	}
});
