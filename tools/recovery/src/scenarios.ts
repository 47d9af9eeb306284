import type {Clock} from '@buckthornpoint/clock/clock.js';
import {startCluster, type Cluster} from './cluster.js';
import type {Policy} from './process-messages.js';
import {AvailabilityMonitor} from './availability-monitor.js';
import type {VmProcess} from './vm-process.js';

const clusterSize = 9;
const steadyMs = 3000;
const recoveryMs = 9000;
const storeOutageMs = 60_000;

/** Time from the start of the store outage to the loss of a node in `store-outage-with-loss`. */
const lossDelayMs = 20_000;

const freezeMs = 5000;

/** The faults whose effect can be measured. */
export const scenarioNames = [
	'node-loss', 'controller-loss', 'controller-and-node-loss', 'failure-domain-loss', 'node-freeze', 'store-outage', 'store-outage-with-loss',
] as const;

export type ScenarioName = typeof scenarioNames[number];

/** Result of one scenario. The times are those for which partitions were unavailable. */
export type ScenarioResult = {
	readonly scenario: ScenarioName;
	readonly policy: Policy;
	readonly partitions: number;
	/** Partitions for which at least one call failed. */
	readonly affected: number;
	readonly medianOfAffectedMs: number;
	readonly longestMs: number;
};

/** Runs a scenario on a new cell and measures how long partitions are unavailable. */
export async function runScenario(scenario: ScenarioName, policy: Policy, clock: Clock): Promise<ScenarioResult> {
	const cluster = await startCluster(clusterSize, policy, clock);
	try {
		const monitor = new AvailabilityMonitor(cluster, clock);
		await monitor.waitForService();
		await clock.sleep(steadyMs);
		const monitoring = monitor.run();
		await clock.sleep(steadyMs);
		await applyFault(scenario, cluster, clock);
		await clock.sleep(recoveryMs);
		monitor.close();
		await monitoring;
		return summarize(scenario, policy, monitor.listLongestOutagesMs());
	} finally {
		await cluster.close();
	}
}

async function applyFault(scenario: ScenarioName, cluster: Cluster, clock: Clock): Promise<void> {
	const controller = await cluster.findController() ?? cluster.vms[0];
	const other = cluster.vms.find(vm => vm !== controller);
	switch (scenario) {
		case 'node-loss': {
			other?.stopImmediately();
			break;
		}

		case 'controller-loss': {
			controller?.stopImmediately();
			break;
		}

		case 'controller-and-node-loss': {
			controller?.stopImmediately();
			other?.stopImmediately();
			break;
		}

		case 'failure-domain-loss': {
			stopFailureDomain(cluster, controller);
			break;
		}

		case 'node-freeze': {
			other?.sendSuspendSignal();
			await clock.sleep(freezeMs);
			other?.sendResumeSignal();
			break;
		}

		case 'store-outage':
		case 'store-outage-with-loss': {
			await applyStoreOutage(cluster, clock, scenario === 'store-outage-with-loss' ? other : undefined);
			break;
		}
	}
}

function stopFailureDomain(cluster: Cluster, member: VmProcess | undefined): void {
	for (const vm of cluster.vms.filter(({failureDomain}) => failureDomain === member?.failureDomain)) {
		vm.stopImmediately();
	}
}

async function applyStoreOutage({tableService}: Cluster, clock: Clock, lost: VmProcess | undefined): Promise<void> {
	tableService.setFaults({down: true});
	await clock.sleep(lossDelayMs);
	lost?.stopImmediately();
	await clock.sleep(storeOutageMs - lossDelayMs);
	tableService.setFaults({down: false});
}

function summarize(scenario: ScenarioName, policy: Policy, longestOutagesMs: readonly number[]): ScenarioResult {
	const affected = longestOutagesMs.filter(longestMs => longestMs > 0);
	return {
		scenario,
		policy,
		partitions: longestOutagesMs.length,
		affected: affected.length,
		medianOfAffectedMs: Math.round(affected[Math.floor(affected.length / 2)] ?? 0),
		longestMs: Math.round(affected.at(-1) ?? 0),
	};
}
