import type {Clock} from '@buckthornpoint/clock/clock.js';
import {startCluster, type Cluster} from './cluster.js';
import type {Policy} from './process-messages.js';
import {ServiceWatch} from './service-watch.js';
import type {VmProcess} from './vm-process.js';

const clusterSize = 9;
const steadyMs = 3000;
const recoveryMs = 9000;
const outageMs = 60_000;
const lossInOutageMs = 20_000;
const freezeMs = 5000;

/** The faults that can be measured. */
export const scenarioNames = [
	'node-loss', 'controller-loss', 'controller-and-node-loss', 'failure-domain-loss', 'node-freeze', 'store-outage', 'store-outage-with-loss',
] as const;

/** The name of a fault. */
export type ScenarioName = typeof scenarioNames[number];

/** What one run gave. Times without service are in milliseconds, over all partitions. */
export type ScenarioResult = {
	readonly scenario: ScenarioName;
	readonly policy: Policy;
	readonly partitions: number;
	/** Partitions of which at least one call failed. */
	readonly affected: number;
	readonly medianOfAffectedMs: number;
	readonly longestMs: number;
};

/** Runs a scenario on a new cell and measures how long partitions are without service. */
export async function runScenario(scenario: ScenarioName, policy: Policy, clock: Clock): Promise<ScenarioResult> {
	const cluster = await startCluster(clusterSize, policy, clock);
	try {
		const watch = new ServiceWatch(cluster, clock);
		await watch.waitForService();
		await clock.sleep(steadyMs);
		const watching = watch.run();
		await clock.sleep(steadyMs);
		await applyFault(scenario, cluster, clock);
		await clock.sleep(recoveryMs);
		watch.close();
		await watching;
		return summarize(scenario, policy, watch.measureGaps());
	} finally {
		await cluster.close();
	}
}

async function applyFault(scenario: ScenarioName, cluster: Cluster, clock: Clock): Promise<void> {
	const controller = await cluster.findController() ?? cluster.vms[0];
	const other = cluster.vms.find(vm => vm !== controller);
	switch (scenario) {
		case 'node-loss': {
			other?.stopAtOnce();
			break;
		}

		case 'controller-loss': {
			controller?.stopAtOnce();
			break;
		}

		case 'controller-and-node-loss': {
			controller?.stopAtOnce();
			other?.stopAtOnce();
			break;
		}

		case 'failure-domain-loss': {
			stopFailureDomain(cluster, controller);
			break;
		}

		case 'node-freeze': {
			other?.sleep();
			await clock.sleep(freezeMs);
			other?.advance();
			break;
		}

		case 'store-outage':
		case 'store-outage-with-loss': {
			await applyOutage(cluster, clock, scenario === 'store-outage-with-loss' ? other : undefined);
			break;
		}
	}
}

function stopFailureDomain(cluster: Cluster, member: VmProcess | undefined): void {
	for (const vm of cluster.vms.filter(({failureDomain}) => failureDomain === member?.failureDomain)) {
		vm.stopAtOnce();
	}
}

async function applyOutage({tableService}: Cluster, clock: Clock, lost: VmProcess | undefined): Promise<void> {
	tableService.setFaults({down: true});
	await clock.sleep(lossInOutageMs);
	lost?.stopAtOnce();
	await clock.sleep(outageMs - lossInOutageMs);
	tableService.setFaults({down: false});
}

function summarize(scenario: ScenarioName, policy: Policy, gaps: readonly number[]): ScenarioResult {
	const affected = gaps.filter(gapMs => gapMs > 0);
	return {
		scenario,
		policy,
		partitions: gaps.length,
		affected: affected.length,
		medianOfAffectedMs: Math.round(affected[Math.floor(affected.length / 2)] ?? 0),
		longestMs: Math.round(affected.at(-1) ?? 0),
	};
}
