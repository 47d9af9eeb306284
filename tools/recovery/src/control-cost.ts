import type {Clock} from '@buckthornpoint/clock/clock.js';
import {startCluster, type Cluster} from './cluster.js';
import {ServiceWatch} from './service-watch.js';
import type {ProcessUse} from './process-messages.js';

const settleMs = 25_000;
const measuredMs = 10_000;
const msPerSecond = 1000;

/** What an idle cell spends on control. */
export type ControlCost = {
	readonly members: number;
	readonly storeReadsPerSecond: number;
	readonly storeWritesPerSecond: number;
	/** Of a process with its node and its idle stand-in, over all members but the controller. */
	readonly meanCpuPercent: number;
	readonly meanWrittenBytesPerSecond: number;
	readonly controllerCpuPercent: number;
	readonly controllerWrittenBytesPerSecond: number;
	readonly meanResidentMegabytes: number;
};

/** Measures what a cell of the given size spends while no caller asks. */
export async function measureControlCost(members: number, clock: Clock): Promise<ControlCost> {
	const cluster = await startCluster(members, 'buckthornpoint', clock);
	try {
		await new ServiceWatch(cluster, clock).waitForService();
		await clock.sleep(settleMs);
		return await measureIdle(cluster, clock);
	} finally {
		await cluster.close();
	}
}

async function measureIdle(cluster: Cluster, clock: Clock): Promise<ControlCost> {
	const controller = await cluster.findController();
	const controllerIndex = controller === undefined ? -1 : cluster.vms.indexOf(controller);
	const storeBefore = cluster.tableService.use;
	const before = await Promise.all(cluster.vms.map(async vm => vm.measureUse()));
	await clock.sleep(measuredMs);
	const after = await Promise.all(cluster.vms.map(async vm => vm.measureUse()));
	const storeAfter = cluster.tableService.use;
	const uses = after.map((use, index) => measureDifference(use, before[index] ?? use));
	const ofController = uses[controllerIndex];
	const ofMembers = uses.filter(use => use !== ofController);
	const seconds = measuredMs / msPerSecond;
	return {
		members: cluster.vms.length,
		storeReadsPerSecond: (storeAfter.reads - storeBefore.reads) / seconds,
		storeWritesPerSecond: (storeAfter.writes - storeBefore.writes) / seconds,
		meanCpuPercent: getMean(ofMembers.map(({cpuMs}) => cpuMs / measuredMs * 100)),
		meanWrittenBytesPerSecond: getMean(ofMembers.map(({writtenBytes}) => writtenBytes / seconds)),
		controllerCpuPercent: (ofController?.cpuMs ?? 0) / measuredMs * 100,
		controllerWrittenBytesPerSecond: (ofController?.writtenBytes ?? 0) / seconds,
		meanResidentMegabytes: getMean(after.map(({residentBytes}) => residentBytes / 1e6)),
	};
}

function measureDifference(after: ProcessUse, before: ProcessUse): ProcessUse {
	return {
		cpuMs: after.cpuMs - before.cpuMs, residentBytes: after.residentBytes, writtenBytes: after.writtenBytes - before.writtenBytes,
	};
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
