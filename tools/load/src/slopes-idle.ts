import type {Clock} from '@buckthornpoint/clock/clock.js';
import {StandInBackendServer} from '@buckthornpoint/backend-server/backend-server.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';
import {MeasuredProcess} from './child-process.js';
import {createNodeSettings, writeConfiguration} from './deployment.js';
import {createConfiguration, type DeploymentPlan} from './deployments.js';
import type {ProcessUsage} from './process-messages.js';

const settleMs = 8000;
const idleMs = 10_000;
const msPerSecond = 1000;
const announceIntervalMs = 1000;
const bytesPerMebibyte = 1_048_576;

/** Measures the resources that the nodes of an idle cell of the given size use for coordination, including reads and writes of the store. */
export async function measureIdleCell(size: number, clock: Clock): Promise<Readonly<Record<string, number>>> {
	const plan: DeploymentPlan = {
		tenant: 'medoplech',
		cell: `cell-of-${size}`,
		maxConnections: 110,
		failureDomains: ['kosice-a', 'kosice-b', 'zilina'],
		services: [{
			name: 'sklad', divided: true, size, lookupPath: '/lots',
		}],
	};
	const tableService = new TableService(clock);
	const tableStore = await tableService.open();
	await writeConfiguration(tableStore, createConfiguration(plan));
	const nodes = Array.from({length: size}, () => new MeasuredProcess());
	await Promise.all(nodes.map(async (node, index) => node.open({node: createNodeSettings(plan, index, tableStore)})));
	const backendServers = nodes.map((node, index) => new StandInBackendServer(clock, {
		name: `sklad-${index}`, service: 'sklad', slots: 18, checksFence: false, incarnation: '1', nodeOrigin: node.callerOrigin, serviceTimeMs: 1, announceIntervalMs,
	}));
	try {
		await Promise.all(backendServers.map(async backendServer => backendServer.open()));
		await clock.sleep(settleMs);
		const before = await Promise.all(nodes.map(async node => node.measureUsage()));
		const storeBefore = tableService.usage;
		await clock.sleep(idleMs);
		const after = await Promise.all(nodes.map(async node => node.measureUsage()));
		const storeAfter = tableService.usage;
		return {
			...summarizeNodes(before, after),
			'store writes/s': (storeAfter.writes - storeBefore.writes) * msPerSecond / idleMs,
			'store reads/s': (storeAfter.reads - storeBefore.reads) * msPerSecond / idleMs,
		};
	} finally {
		await Promise.all(backendServers.map(async backendServer => backendServer.close()));
		await Promise.all(nodes.map(async node => node.close()));
		await tableService.close();
	}
}

function summarizeNodes(before: readonly ProcessUsage[], after: readonly ProcessUsage[]): Readonly<Record<string, number>> {
	const perSecond = (name: 'cpuMs' | 'ioBytes'): readonly number[] => after.map((usage, index) =>
		(usage[name] - (before[index]?.[name] ?? 0)) * msPerSecond / idleMs);
	const cores = perSecond('cpuMs').map(cpuMs => cpuMs * 100 / msPerSecond);
	const bytes = perSecond('ioBytes');
	return {
		'mean node, % of a core': measureMean(cores),
		'busiest node, % of a core': Math.max(...cores),
		'mean node, bytes/s': measureMean(bytes),
		'busiest node, bytes/s': Math.max(...bytes),
		'largest node, MiB resident': Math.max(...after.map(({residentBytes}) => residentBytes)) / bytesPerMebibyte,
	};
}

function measureMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
