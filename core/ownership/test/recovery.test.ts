import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createConfiguration, findUnserved, startCell} from './cells.js';
import {SimulatedCell} from './simulated-cell.js';

const settledMs = 6000;

/** Returns how long it takes until every partition is served, in virtual milliseconds. */
function measureRecovery(cell: SimulatedCell, limitMs: number): number {
	const startMs = cell.nowMs;
	while (findUnserved(cell).length > 0 && cell.nowMs - startMs < limitMs) {
		cell.advance(10);
	}

	return cell.nowMs - startMs;
}

test('a cell that starts from an empty store serves every partition', () => {
	const cell = new SimulatedCell(1, createConfiguration());
	startCell(cell, 5);
	assert.ok(measureRecovery(cell, settledMs) < 2000);
});

for (const size of [5, 10, 13, 40]) {
	test(`a cell of ${size} serves every partition within 3 s of the loss of its controller`, () => {
		const cell = new SimulatedCell(size, createConfiguration());
		startCell(cell, size);
		cell.advance(settledMs);
		cell.stopNode(cell.store.lease.value!.controller.vmId);
		assert.ok(measureRecovery(cell, settledMs) < 3000);
	});

	test(`a cell of ${size} serves every partition within 3 s of the loss of another node`, () => {
		const cell = new SimulatedCell(size, createConfiguration());
		startCell(cell, size);
		cell.advance(settledMs);
		const controller = cell.store.lease.value!.controller.vmId;
		cell.stopNode([...cell.nodes.keys()].find(vmId => vmId !== controller)!);
		assert.ok(measureRecovery(cell, settledMs) < 3000);
	});
}
