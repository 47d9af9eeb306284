import process from 'node:process';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {TableService} from '@buckthornpoint/table-service/table-service.js';
import Table from 'cli-table3';
import {sendRequest} from '@buckthornpoint/http1/send-request.js';
import {MeasuredProcess} from './child-process.js';
import {createNodeSettings, writeConfiguration} from './deployment.js';
import {createConfiguration, type DeploymentPlan} from './deployments.js';
import type {HopsSettings} from './hops-settings.js';
import {measurePercentile} from './percentile.js';

const pollMs = 50;
const setupDeadlineMs = 20_000;
const statusOk = 200;
const msPerSecond = 1000;
const service = {
	name: 'sklad', divided: true, size: 1, lookupPath: '/lots',
} as const;
const plan: DeploymentPlan = {
	tenant: 'medoplech', cell: 'sk-east-1', maxConnections: 110, failureDomains: ['kosice-a', 'kosice-b', 'zilina'], services: [service],
};

/** Measured results of one path to the backend server. */
export type PathResult = {
	readonly path: string;
	/** Answers per second while the senders keep `concurrency` calls pending. */
	readonly saturationPerSecond: number;
	/** Rate of the open-loop load. */
	readonly ratePerSecond: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly failures: number;
	/** CPU time of all nodes per request of the open-loop load. */
	readonly nodeCpuMs: number;
};

type Bench = {
	readonly tableService: TableService;
	/** The node that receives the calls on the path through two nodes and forwards them to the owner. */
	readonly entryNode: MeasuredProcess;
	/** The node whose local backend server owns all keys. */
	readonly ownerNode: MeasuredProcess;
	readonly backendServer: MeasuredProcess;
	readonly senders: readonly MeasuredProcess[];
};

/** Measures the direct path and the paths through one and two nodes with the same processes. */
export async function runHops(clock: Clock, settings: HopsSettings): Promise<readonly PathResult[]> {
	const bench = await startBench(clock, settings);
	try {
		await waitUntilServing(bench, clock);
		const paths = [
			{path: 'direct', origin: bench.backendServer.backendOrigin},
			{path: 'one node', origin: bench.ownerNode.callerOrigin},
			{path: 'two nodes', origin: bench.entryNode.callerOrigin},
		];
		const saturations = new Map<string, number>();
		for (const {path, origin} of paths) {
			await sendFromAll(bench, settings, {origin, durationMs: settings.warmUpMs, ratePerSecond: 0});
			const {latencies} = await sendFromAll(bench, settings, {origin, durationMs: settings.saturationMs, ratePerSecond: 0});
			saturations.set(path, latencies.length * msPerSecond / settings.saturationMs);
		}

		const ratePerSecond = (saturations.get('two nodes') ?? 0) / 2;
		const results: PathResult[] = [];
		for (const {path, origin} of paths) {
			results.push(await measurePath(bench, settings, {
				path, origin, ratePerSecond, saturationPerSecond: saturations.get(path) ?? 0,
			}));
		}

		return results;
	} finally {
		await closeBench(bench);
	}
}

/** Prints the results with their ratios to the direct path. */
export function printHops(results: readonly PathResult[]): void {
	const table = new Table({head: ['path', 'saturation/s', 'ratio', 'rate/s', 'p50 ms', 'ratio', 'p99 ms', 'ratio', 'node CPU ms/request', 'failures'], style: {head: [], border: []}});
	const [direct] = results;
	for (const result of results) {
		const divide = (value: number, by: number | undefined): string => by === undefined || by === 0 ? '-' : (value / by).toFixed(2);
		table.push([
			result.path,
			result.saturationPerSecond.toFixed(0),
			divide(result.saturationPerSecond, direct?.saturationPerSecond),
			result.ratePerSecond.toFixed(0),
			result.p50Ms.toFixed(2),
			divide(result.p50Ms, direct?.p50Ms),
			result.p99Ms.toFixed(2),
			divide(result.p99Ms, direct?.p99Ms),
			result.nodeCpuMs.toFixed(3),
			String(result.failures),
		]);
	}

	process.stdout.write(`${table.toString()}\n`);
}

async function startBench(clock: Clock, settings: HopsSettings): Promise<Bench> {
	const tableService = new TableService(clock);
	const tableStore = await tableService.open();
	await writeConfiguration(tableStore, createConfiguration(plan));
	const bench: Bench = {
		tableService,
		entryNode: new MeasuredProcess(),
		ownerNode: new MeasuredProcess(),
		backendServer: new MeasuredProcess(),
		senders: Array.from({length: settings.senders}, () => new MeasuredProcess()),
	};
	await Promise.all([bench.entryNode.open({node: createNodeSettings(plan, 0, tableStore)}), bench.ownerNode.open({node: createNodeSettings(plan, 1, tableStore)})]);
	await bench.backendServer.open({
		backendServer: {
			...settings,
			name: 'sklad-1',
			service: service.name,
			checksFence: false,
			incarnation: '1',
			nodeOrigin: bench.ownerNode.callerOrigin,
			announceIntervalMs: 500,
		},
	});
	return bench;
}

async function closeBench(bench: Bench): Promise<void> {
	await Promise.all([...bench.senders, bench.entryNode, bench.ownerNode, bench.backendServer].map(async measured => measured.close()));
	await bench.tableService.close();
}

async function waitUntilServing(bench: Bench, clock: Clock): Promise<void> {
	const startMs = clock.readTimestamp().monotonicMs;
	for (let key = 0; key < plan.services.length * 64; key++) {
		while (!await probe(bench.entryNode.callerOrigin, `probe-${key}`)) {
			if (clock.readTimestamp().monotonicMs - startMs > setupDeadlineMs) {
				throw new Error('the service did not answer all probe requests through the nodes within the setup deadline');
			}

			await clock.sleep(pollMs);
		}
	}
}

async function probe(origin: string, key: string): Promise<boolean> {
	const response = await sendRequest(`${origin}${service.lookupPath}`, {method: 'POST', body: key, headers: {'buckthornpoint-service': service.name, 'buckthornpoint-key': key}});
	await response.body.dump();
	return response.statusCode === statusOk;
}

type SendOpts = {
	readonly origin: string;
	readonly durationMs: number;
	/** 0 for a closed-loop load. */
	readonly ratePerSecond: number;
};

type SendResult = {
	readonly latencies: readonly number[];
	readonly failures: number;
};

async function sendFromAll({senders}: Bench, settings: HopsSettings, opts: SendOpts): Promise<SendResult> {
	const concurrency = opts.ratePerSecond === 0 ? Math.ceil(settings.concurrency / senders.length) : 0;
	const reports = await Promise.all(senders.map(async (sender, index) => sender.sendLoad({
		...opts, service, seed: settings.seed + index, concurrency, ratePerSecond: opts.ratePerSecond / senders.length,
	})));
	return {
		latencies: reports.flatMap(({latencies}) => latencies ?? []),
		failures: reports.reduce((sum, {failures}) => sum + (failures ?? 0), 0),
	};
}

type PathOpts = Pick<PathResult, 'path' | 'ratePerSecond' | 'saturationPerSecond'> & {readonly origin: string};

async function measurePath(bench: Bench, settings: HopsSettings, {origin, ...path}: PathOpts): Promise<PathResult> {
	const before = await measureNodesCpuMs(bench);
	const {latencies, failures} = await sendFromAll(bench, settings, {origin, durationMs: settings.latencyMs, ratePerSecond: path.ratePerSecond});
	const after = await measureNodesCpuMs(bench);
	return {
		...path, p50Ms: measurePercentile(latencies, 50), p99Ms: measurePercentile(latencies, 99), failures, nodeCpuMs: (after - before) / Math.max(1, latencies.length + failures),
	};
}

async function measureNodesCpuMs({entryNode, ownerNode}: Bench): Promise<number> {
	const usages = await Promise.all([entryNode.measureUsage(), ownerNode.measureUsage()]);
	return usages.reduce((sum, {cpuMs}) => sum + cpuMs, 0);
}
