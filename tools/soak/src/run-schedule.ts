import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Disruptions} from './disruptions.js';
import type {Fault} from './schedule.js';
import type {SoakFleet} from './soak-fleet.js';

/** Options to run a schedule of faults. */
export type ScheduleRunOpts = {
	readonly clock: Clock;
	readonly fleet: SoakFleet;
	readonly disruptions: Disruptions;
	readonly onEvent: (event: string) => void;
};

/** Injects the faults of a schedule and waits until the last one has ended. */
export async function runSchedule(schedule: readonly Fault[], opts: ScheduleRunOpts): Promise<void> {
	await Promise.all(schedule.map(async fault => {
		await opts.clock.sleep(fault.atMs);
		await runFault(fault, opts);
	}));
	opts.fleet.store.setCondition({kind: 'up'});
}

async function runFault(fault: Fault, {clock, fleet, disruptions, onEvent}: ScheduleRunOpts): Promise<void> {
	const {store, nodes, links} = fleet;
	switch (fault.kind) {
		case 'stop': {
			return nodes[fault.node]!.stop(fault.repeatsMs, fault.downMs);
		}

		case 'kill': {
			return nodes[fault.node]!.stopImmediately(fault.downMs);
		}

		case 'reload': {
			nodes[fault.node]!.sendReload();
			return;
		}

		case 'pause': {
			return nodes[fault.node]!.runPause(fault.forMs);
		}

		case 'change': {
			onEvent(fault.isHistoryLost ? 'store: history removed' : 'operator: new configuration');
			if (fault.isHistoryLost) {
				store.removeHistory();
			} else {
				fleet.writeConfiguration();
			}

			return;
		}

		case 'store': {
			const disruption = disruptions.open('store', clock.readTimestamp().monotonicMs);
			onEvent(`store: ${JSON.stringify(fault.condition)}`);
			store.setCondition(fault.condition);
			await clock.sleep(fault.forMs);
			onEvent('store: up');
			store.setCondition({kind: 'up'});
			disruption.close(clock.readTimestamp().monotonicMs);
			return;
		}

		case 'return': {
			const disruption = disruptions.open('store', clock.readTimestamp().monotonicMs);
			onEvent(`store: away for ${fault.awayMs} ms`);
			store.setCondition({kind: 'refusing'});
			await clock.sleep(fault.awayMs);
			onEvent(`store: back from a copy of ${fault.copyAgeMs} ms before it went away`);
			store.loadCopy(fault.awayMs + fault.copyAgeMs);
			store.setCondition({kind: 'up'});
			await clock.sleep(fault.repairDelayMs);
			fleet.writeConfiguration();
			disruption.close(clock.readTimestamp().monotonicMs);
			return;
		}

		case 'leave': {
			return fleet.replaceBackend(fault);
		}

		case 'evacuate': {
			return fleet.runEvacuation(fault.node, fault.forMs);
		}

		case 'copies': {
			return fleet.runRepeatedRefusals(fault.node, fault.refusals, fault.forMs);
		}

		case 'link': {
			const disruption = disruptions.open('store', clock.readTimestamp().monotonicMs);
			onEvent(`link of vm-${fault.node}: ${JSON.stringify(fault.condition)}`);
			links[fault.node]!.setCondition(fault.condition);
			await clock.sleep(fault.forMs);
			onEvent(`link of vm-${fault.node}: up`);
			links[fault.node]!.setCondition({kind: 'up'});
			disruption.close(clock.readTimestamp().monotonicMs);
		}
	}
}
