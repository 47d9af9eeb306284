import type {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import type {SimulatedFleet} from './simulated-fleet.js';

/** Injects five random faults, each followed by `afterFault`, then ends those that last. */
export async function runFaults(fleet: SimulatedFleet, random: SeededRandom, afterFault: () => void): Promise<void> {
	for (let fault = 0; fault < 5; fault++) {
		const vm = fleet.vms[random.generateIntegerBelow(fleet.vms.length)]!;
		const leader = fleet.vms.find(({node}) => node?.control.isLeading) ?? vm;
		const target = random.generateIntegerBelow(2) === 0 ? leader : vm;
		switch (random.generateIntegerBelow(12)) {
			case 0: {
				fleet.stopNode(target, 300 + random.generateIntegerBelow(2000));
				break;
			}

			case 1: {
				fleet.stopBackend(target, 200 + random.generateIntegerBelow(5000));
				break;
			}

			case 2: {
				for (const each of fleet.vms.filter(() => random.generateIntegerBelow(3) > 0)) {
					fleet.stopNode(each, 300 + random.generateIntegerBelow(2000));
				}

				break;
			}

			case 3: {
				for (const each of fleet.vms) {
					fleet.stopNode(each, 500 + random.generateIntegerBelow(1500));
					fleet.stopBackend(each, 500 + random.generateIntegerBelow(1500));
				}

				break;
			}

			case 4: {
				target.isSuspended = !target.isSuspended;
				break;
			}

			case 5: {
				target.isPartitioned = !target.isPartitioned;
				break;
			}

			case 6: {
				fleet.store.faults.isDown = !fleet.store.faults.isDown;
				break;
			}

			case 7: {
				fleet.store.faults.refusedVms = new Set(fleet.vms.filter(() => random.generateIntegerBelow(2) === 0).map(({vmId}) => vmId));
				break;
			}

			case 8: {
				fleet.store.faults.lostAnswerShare = 0.5;
				fleet.store.faults.isDelayed = random.generateIntegerBelow(2) === 0;
				break;
			}

			case 9: {
				target.state = 'draining';
				break;
			}

			case 10: {
				target.demand = 1.5;
				break;
			}

			default: {
				target.node?.clock.advanceWallOnly(random.generateIntegerBelow(4000));
				break;
			}
		}

		afterFault();
		await fleet.run(500 + random.generateIntegerBelow(5000));
	}

	stopFaults(fleet);
}

function stopFaults(fleet: SimulatedFleet): void {
	fleet.store.faults.isDown = false;
	fleet.store.faults.refusedVms = new Set();
	fleet.store.faults.lostAnswerShare = 0;
	for (const vm of fleet.vms) {
		vm.isSuspended = false;
		vm.isPartitioned = false;
		vm.state = 'ready';
		vm.demand = 0.3;
	}
}
