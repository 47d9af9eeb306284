import assert from 'node:assert/strict';
import process from 'node:process';
import test from 'node:test';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {runFaults} from './random-faults.js';
import {SimulatedFleet} from './simulated-fleet.js';

/** Number of seeds to run and the first of them. The environment variables `SCHEDULES` and `FIRST_SEED` override them. */
const scheduleCount = Number(process.env.SCHEDULES ?? 4);
const firstSeed = Number(process.env.FIRST_SEED ?? 1);

const settleMs = 12_000;
const outageMs = 2000;

/** Longer than leases that the controller may have granted on the strength of its lease in the store. */
const repairMs = 45_000;

/** Runs until the store has been away and returned from a copy that lacks the latest range maps. */
async function runUntilReturn(fleet: SimulatedFleet, random: SeededRandom, maxAgeMs: number): Promise<void> {
	for (let change = 0; change < 4; change++) {
		fleet.vms[random.generateIntegerBelow(fleet.vms.length)]!.demand = 0.2 + (random.generateFraction() * 1.3);
		await fleet.run(500 + random.generateIntegerBelow(1500));
	}

	fleet.store.faults.isDown = true;
	await fleet.run(outageMs);
	fleet.store.loadCopy(outageMs + random.generateIntegerBelow(maxAgeMs));
	fleet.store.faults.isDown = false;
}

async function checkRepaired(fleet: SimulatedFleet, seed: number): Promise<void> {
	for (const vm of fleet.vms) {
		vm.demand = 0.3;
	}

	await fleet.run(repairMs);
	assert.deepEqual(fleet.violations.slice(0, 3), [], `seed ${seed}`);
	assert.deepEqual(fleet.listUnheld(), [], `seed ${seed}: all keys are held again`);
}

test('no key gets a second holder or a used fence when the store returns from an older copy', async () => {
	for (let seed = firstSeed; seed < firstSeed + scheduleCount; seed++) {
		const fleet = new SimulatedFleet(5, seed);
		await fleet.run(settleMs);
		await runUntilReturn(fleet, new SeededRandom(seed), 9000);
		await checkRepaired(fleet, seed);
	}
});

test('living owners serve on while the store returns from an older copy', async () => {
	for (let seed = firstSeed; seed < firstSeed + scheduleCount; seed++) {
		const fleet = new SimulatedFleet(5, seed);
		await fleet.run(settleMs);
		fleet.store.faults.isDown = true;
		await fleet.run(outageMs);
		fleet.store.loadCopy(outageMs + 1000 + (seed * 500));
		fleet.store.faults.isDown = false;
		for (let step = 0; step < 200; step++) {
			await fleet.run(100);
			assert.deepEqual(fleet.listUnheld(), [], `seed ${seed}, ${step * 100} ms after the return`);
		}

		assert.deepEqual(fleet.violations, [], `seed ${seed}`);
	}
});

test('no key gets a second holder or a used fence when nodes, the controller among them, are lost around a return of the store', async () => {
	for (let seed = firstSeed; seed < firstSeed + (2 * scheduleCount); seed++) {
		const random = new SeededRandom(seed);
		const fleet = new SimulatedFleet(5, seed);
		await fleet.run(settleMs);
		const losses = async (): Promise<void> => {
			const leader = fleet.vms.find(({node}) => node?.control.isLeading);
			for (const vm of fleet.vms) {
				if (vm === leader || random.generateIntegerBelow(2) === 0) {
					runLoss(fleet, vm, random.generateIntegerBelow(4));
				}
			}

			await fleet.run(random.generateIntegerBelow(1500));
		};

		if (seed % 2 === 0) {
			await losses();
		}

		await runUntilReturn(fleet, random, 9000);
		if (seed % 2 === 1) {
			await fleet.run(random.generateIntegerBelow(600));
			await losses();
		}

		await fleet.run(4000);
		stopLosses(fleet);
		await checkRepaired(fleet, seed);
	}
});

test('no key gets a second holder or a used fence when the store returns again during the repair', async () => {
	for (let seed = firstSeed; seed < firstSeed + scheduleCount; seed++) {
		const random = new SeededRandom(seed);
		const fleet = new SimulatedFleet(5, seed);
		await fleet.run(settleMs);
		await runUntilReturn(fleet, random, 9000);
		await fleet.run(random.generateIntegerBelow(3000));
		const leader = fleet.vms.find(({node}) => node?.control.isLeading);
		if (leader !== undefined && seed % 2 === 0) {
			fleet.stopNode(leader, 700);
		}

		fleet.store.loadCopy(random.generateIntegerBelow(12_000));
		await checkRepaired(fleet, seed);
	}
});

test('no key gets a second holder or a used fence when the copy is older than the first map and all nodes start anew', async () => {
	for (let seed = firstSeed; seed < firstSeed + scheduleCount; seed++) {
		const fleet = new SimulatedFleet(5, seed);
		await fleet.run(settleMs);
		fleet.store.faults.isDown = true;
		for (const vm of fleet.vms) {
			fleet.stopNode(vm, 1000 + (seed * 100));
		}

		await fleet.run(outageMs);
		fleet.store.loadCopy(1_000_000);
		fleet.store.faults.isDown = false;
		await checkRepaired(fleet, seed);
	}
});

test('a write of before the outage that takes effect after the return replaces no map of the new era', async () => {
	for (let seed = firstSeed; seed < firstSeed + (2 * scheduleCount); seed++) {
		const random = new SeededRandom(seed);
		const fleet = new SimulatedFleet(5, seed);
		await fleet.run(settleMs);
		fleet.vms[0]!.demand = 1.5;
		fleet.store.faults.lostAnswerShare = 0.7;
		fleet.store.faults.isDelayed = true;
		await fleet.run(1000 + random.generateIntegerBelow(3000));
		fleet.store.faults.isDown = true;
		await fleet.run(1000);
		fleet.store.faults.lostAnswerShare = 0;
		fleet.store.loadCopy(1000 + random.generateIntegerBelow(3000));
		fleet.store.faults.isDown = false;
		if (seed % 2 === 0) {
			fleet.stopNode(fleet.vms.find(({node}) => node?.control.isLeading) ?? fleet.vms[0]!, 700);
		}

		await checkRepaired(fleet, seed);
	}
});

test('no key gets a second holder or a used fence when the store returns among other faults', async () => {
	for (let seed = firstSeed; seed < firstSeed + scheduleCount; seed++) {
		const fleet = new SimulatedFleet(5, seed);
		await fleet.run(settleMs);
		const random = new SeededRandom(seed + 2_000_000);
		await runFaults(fleet, random, () => {
			if (random.generateIntegerBelow(2) === 0) {
				fleet.store.loadCopy(random.generateIntegerBelow(12_000));
			}
		});
		await checkRepaired(fleet, seed);
	}
});

test('on a platform without eras the fleet works as before', async () => {
	const fleet = new SimulatedFleet(5, firstSeed);
	fleet.store.hasEras = false;
	await fleet.run(settleMs);
	fleet.stopNode(fleet.vms.find(({node}) => node?.control.isLeading)!, 700);
	await fleet.run(settleMs);
	assert.deepEqual(fleet.violations, []);
	assert.deepEqual(fleet.listUnheld(), []);
});

type SimulatedVm = SimulatedFleet['vms'][number];

function runLoss(fleet: SimulatedFleet, vm: SimulatedVm, kind: number): void {
	switch (kind) {
		case 0: {
			fleet.stopNode(vm, 700);
			break;
		}

		case 1: {
			fleet.stopNode(vm, 2500);
			fleet.stopBackend(vm, 2500);
			break;
		}

		case 2: {
			vm.isSuspended = true;
			break;
		}

		default: {
			vm.isPartitioned = true;
			break;
		}
	}
}

function stopLosses(fleet: SimulatedFleet): void {
	for (const vm of fleet.vms) {
		vm.isSuspended = false;
		vm.isPartitioned = false;
	}
}
