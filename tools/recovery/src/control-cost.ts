import type {Clock} from '@buckthornpoint/clock/clock.js';
import {startCluster, type Cluster} from './cluster.js';
import {AvailabilityMonitor} from './availability-monitor.js';
import type {ProcessUsage} from './process-messages.js';

const settleMs = 25_000;
const measuredMs = 10_000;
const msPerSecond = 1000;

/** Resources that an idle cell uses for coordination. */
export type ControlCost = {
	readonly members: number;
	readonly storeReadsPerSecond: number;
	readonly storeWritesPerSecond: number;
	/** Mean over all members except the controller; each process runs a node and an idle stand-in backend server. */
	readonly meanCpuPercent: number;
	readonly meanWrittenBytesPerSecond: number;
	readonly controllerCpuPercent: number;
	readonly controllerWrittenBytesPerSecond: number;
	readonly meanResidentMegabytes: number;
};

/** Measures the resources that a cell of the given size uses without any requests. */
export async function measureControlCost(members: number, clock: Clock): Promise<ControlCost> {
	const cluster = await startCluster(members, 'buckthornpoint', clock);
	try {
		await new AvailabilityMonitor(cluster, clock).waitForService();
		await clock.sleep(settleMs);
		return await measureIdle(cluster, clock);
	} finally {
		await cluster.close();
	}
}

async function measureIdle(cluster: Cluster, clock: Clock): Promise<ControlCost> {
	const controller = await cluster.findController();
	const controllerIndex = controller === undefined ? -1 : cluster.vms.indexOf(controller);
	const storeBefore = cluster.tableService.usage;
	const before = await Promise.all(cluster.vms.map(async vm => vm.measureUsage()));
	await clock.sleep(measuredMs);
	const after = await Promise.all(cluster.vms.map(async vm => vm.measureUsage()));
	const storeAfter = cluster.tableService.usage;
	const usages = after.map((usage, index) => measureDifference(usage, before[index] ?? usage));
	const controllerUsage = usages[controllerIndex];
	const memberUsages = usages.filter(usage => usage !== controllerUsage);
	const seconds = measuredMs / msPerSecond;
	return {
		members: cluster.vms.length,
		storeReadsPerSecond: (storeAfter.reads - storeBefore.reads) / seconds,
		storeWritesPerSecond: (storeAfter.writes - storeBefore.writes) / seconds,
		meanCpuPercent: getMean(memberUsages.map(({cpuMs}) => cpuMs / measuredMs * 100)),
		meanWrittenBytesPerSecond: getMean(memberUsages.map(({writtenBytes}) => writtenBytes / seconds)),
		controllerCpuPercent: (controllerUsage?.cpuMs ?? 0) / measuredMs * 100,
		controllerWrittenBytesPerSecond: (controllerUsage?.writtenBytes ?? 0) / seconds,
		meanResidentMegabytes: getMean(after.map(({residentBytes}) => residentBytes / 1e6)),
	};
}

function measureDifference(after: ProcessUsage, before: ProcessUsage): ProcessUsage {
	return {
		cpuMs: after.cpuMs - before.cpuMs, residentBytes: after.residentBytes, writtenBytes: after.writtenBytes - before.writtenBytes,
	};
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
