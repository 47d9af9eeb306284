import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createConfiguration, findUnserved, measureGap, startCell,
} from './cells.js';
import {SimulatedCell} from './simulated-cell.js';

const settleMs = 6000;
const maxHandOverMs = 500;
const messageDelayMs = 40;
const partitionCount = 64;
const maxSingleLossGapMs = 3000;
const maxDomainLossGapMs = 5000;
const outageMs = 60_000;

function createCell(size: number): SimulatedCell {
	const cell = new SimulatedCell(size, createConfiguration(partitionCount));
	startCell(cell, size);
	cell.advance(settleMs);
	assert.deepEqual(findUnserved(cell), []);
	return cell;
}

function getController(cell: SimulatedCell): string {
	return cell.store.lease.value!.controller.vmId;
}

function findOther(cell: SimulatedCell): string {
	return [...cell.nodes.keys()].find(vmId => vmId !== getController(cell))!;
}

function assertRecovers(cell: SimulatedCell, limitMs: number): void {
	const gapMs = measureGap(cell, settleMs);
	assert.ok(gapMs < limitMs, `${gapMs} ms without service`);
	assert.deepEqual(findUnserved(cell), []);
}

test('a cell that starts from an empty store serves every partition within 2 s', () => {
	const cell = new SimulatedCell(1, createConfiguration(partitionCount));
	startCell(cell, 5);
	assertRecovers(cell, 2000);
});

for (const size of [5, 10, 13, 40]) {
	test(`a cell of ${size} serves every partition within 3 s of the loss of its controller`, () => {
		const cell = createCell(size);
		cell.stopNode(getController(cell));
		assertRecovers(cell, maxSingleLossGapMs);
	});

	test(`a cell of ${size} serves every partition within 3 s of the loss of another node`, () => {
		const cell = createCell(size);
		cell.stopNode(findOther(cell));
		assertRecovers(cell, maxSingleLossGapMs);
	});

	test(`a cell of ${size} serves every partition within 5 s of the loss of the controller and another node`, () => {
		const cell = createCell(size);
		const other = findOther(cell);
		cell.stopNode(getController(cell));
		cell.stopNode(other);
		assertRecovers(cell, maxDomainLossGapMs);
	});

	test(`a cell of ${size} serves every partition within 5 s of the loss of the controller's failure domain`, () => {
		const cell = createCell(size);
		const domain = Number(getController(cell).slice(2)) % 3;
		for (const vmId of [...cell.nodes.keys()].filter(other => Number(other.slice(2)) % 3 === domain)) {
			cell.stopNode(vmId);
		}

		assertRecovers(cell, maxDomainLossGapMs);
	});
}

test('a store outage of 60 s interrupts nothing', () => {
	const cell = createCell(10);
	cell.storeFaults = {...cell.storeFaults, isDown: true};
	assert.equal(measureGap(cell, outageMs), 0);
	cell.removeFaults();
	assert.equal(measureGap(cell, settleMs), 0);
});

test('a node that is lost during a store outage is replaced within 3 s, and the new map is stored after the outage', () => {
	const cell = createCell(10);
	cell.storeFaults = {...cell.storeFaults, isDown: true};
	cell.advance(settleMs);
	const lost = findOther(cell);
	cell.stopNode(lost);
	assertRecovers(cell, maxSingleLossGapMs);
	cell.removeFaults();
	assert.equal(measureGap(cell, settleMs), 0);
	const {map} = (cell.store.cell.value!);
	assert.equal(map.placements[0]!.owners.includes(map.vmIds.indexOf(lost)), false);
});

test('a failure domain that operators take out holds no grants after 3 s, and no partition is unserved for 500 ms', () => {
	const cell = createCell(10);
	const configuration = {
		...cell.configuration, version: 2, failureDomains: cell.configuration.failureDomains.map(domain => ({...domain, out: domain.name === 'fd1'})),
	};
	cell.stepNode(cell.nodes.get(findOther(cell))!, {kind: 'configuration-learned', configuration});
	const gapMs = measureGap(cell, maxSingleLossGapMs);
	assert.ok(gapMs < 500, `${gapMs} ms without service`);
	const holders = [...cell.nodes.values()].filter(node => node.view.grants.size > 0).map(({identity}) => Number(identity.vmId.slice(2)) % 3);
	assert.equal(holders.includes(1), false);
});

test('a cell whose processes were all replaced recovers from the stored rows alone', () => {
	const cell = createCell(5);
	const vmIds = [...cell.nodes.keys()];
	for (const vmId of vmIds) {
		cell.startNode(vmId, `fd${Number(vmId.slice(2)) % 3}`);
	}

	assertRecovers(cell, maxDomainLossGapMs);
});

test('the planned stop of the controller leaves no partition unserved for longer than a handover', () => {
	for (const size of [3, 10, 13, 40]) {
		const cell = createCell(size);
		cell.stepNode(cell.nodes.get(getController(cell))!, {kind: 'stop-requested'});
		const gapMs = measureGap(cell, settleMs);
		assert.ok(gapMs <= maxHandOverMs, `${size} members: a partition was unserved for ${gapMs} ms`);
	}
});

// If the controller resigned before the next owners had received their grants, these would have no predecessor that they
// could query for the outcomes of earlier requests.
test('owners whose messages from a resigning controller are blocked still have it as their predecessor', () => {
	const cell = createCell(3);
	const stopped = getController(cell);
	const moved = [...cell.nodes.get(stopped)!.view.grants.keys()];
	const others = [...cell.nodes.values()].filter(({identity}) => identity.vmId !== stopped);
	cell.stepNode(cell.nodes.get(stopped)!, {kind: 'stop-requested'});
	cell.advance(messageDelayMs);
	for (const {identity} of others) {
		cell.addBlock(stopped, identity.vmId);
	}

	cell.advance(messageDelayMs);
	cell.removeFaults();
	cell.advance(settleMs);
	assert.equal(cell.nodes.has(stopped), false);
	const predecessors = moved.map(id => others.map(({view}) => view.grants.get(id)).find(grant => grant !== undefined)?.predecessor);
	assert.deepEqual(predecessors.map(predecessor => [predecessor?.node.vmId, predecessor?.released]), moved.map(() => [stopped, true]));
});
