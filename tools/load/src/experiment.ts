import type {Clock} from '@buckthornpoint/clock/clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import type {BackendServerCounts} from '@buckthornpoint/backend-server/run-counter.js';
import {v7 as createUuid} from 'uuid';
import {NodePath, type Call, type CallPath} from './call.js';
import {
	ExperimentCluster, experimentDomains, experimentService, listVmIndexes,
} from './experiment-cluster.js';
import type {ExperimentSettings} from './experiment-settings.js';
import {NaivePath} from './naive-path.js';
import {sendOpenLoad} from './open-load.js';
import {Tally, type Percentiles} from './tally.js';
import {measureImbalance} from './violations.js';

const msPerSecond = 1000;
const hundredPercent = 100;
const keyCount = 500;
const connectionsPerNode = 256;
const [removedFailureDomain] = experimentDomains;

/** How long after its removal a failure domain may still start requests. */
const drainAllowanceMs = 3000;

/** Results of the calls whose planned send time lies in one window of a step. */
export type WindowResult = Percentiles & {
	readonly calls: number;
	readonly answers: number;
	/** Answers per second. */
	readonly goodput: number;
	readonly failures: Readonly<Record<string, number>>;
};

/** Results of one step: one seed, one load and one router. */
export type StepResult = {
	/** `policy` sends the calls through the nodes, `naive` directly to backend servers picked at random. */
	readonly router: 'policy' | 'naive';
	readonly seed: number;
	readonly loadPercent: number;
	readonly ratePerSecond: number;
	readonly before: WindowResult;
	readonly during: WindowResult;
	readonly after: WindowResult;
	readonly mismatches: number;
	/** Requests that backend servers started or refused, per call. */
	readonly attemptsPerCall: number;
	/** How often a cold backend server started a request beyond its current capacity, counted since the server's start. */
	readonly coldOverruns: number;
	/** Requests that the removed failure domain started more than 3 s (`drainAllowanceMs`) after its removal; 0 for other faults. */
	readonly lateWork: number;
	readonly imbalance: number;
};

/** Runs all steps of an experiment: for each seed and load, first the policy and then the naive router. */
export async function runExperiment(clock: Clock, settings: ExperimentSettings, onStep: (step: StepResult) => void): Promise<readonly StepResult[]> {
	const steps: StepResult[] = [];
	for (const seed of settings.seeds) {
		for (const loadPercent of settings.loadPercents) {
			for (const router of ['policy', 'naive'] as const) {
				const step = await runStep(clock, settings, {seed, loadPercent, router});
				steps.push(step);
				onStep(step);
			}
		}
	}

	return steps;
}

type StepPlan = Pick<StepResult, 'seed' | 'loadPercent' | 'router'>;

async function runStep(clock: Clock, settings: ExperimentSettings, plan: StepPlan): Promise<StepResult> {
	const cluster = new ExperimentCluster(clock, settings);
	await cluster.open(plan.seed);
	const random = new SeededRandom(plan.seed);
	const path = plan.router === 'policy'
		? new NodePath(clock, {origins: cluster.callerOrigins, connectionsPerNode})
		: new NaivePath({clock, random: new SeededRandom(plan.seed), origins: cluster.backendOrigins});
	const capacity = settings.size * settings.slots * msPerSecond / settings.serviceTimeMs;
	const ratePerSecond = capacity * plan.loadPercent / hundredPercent;
	try {
		await sendLoad(path, {
			clock, settings, random, ratePerSecond, durationMs: settings.warmUpMs,
		});
		const countsBefore = await cluster.readCounts();
		const [windows, lateWork] = await Promise.all([
			sendLoad(path, {
				clock, settings, random, ratePerSecond, durationMs: settings.durationMs,
			}),
			applyFault(cluster, clock, settings),
		]);
		const countsAfter = await cluster.readCounts();
		return {
			...plan, ratePerSecond, ...summarizeWindows(windows, settings), ...summarizeCounts(countsBefore, countsAfter, windows), lateWork,
		};
	} finally {
		await path.close();
		await cluster.close();
	}
}

type Windows = {
	readonly before: Tally;
	readonly during: Tally;
	readonly after: Tally;
};

type LoadOpts = {
	readonly clock: Clock;
	readonly settings: ExperimentSettings;
	readonly random: SeededRandom;
	readonly ratePerSecond: number;
	readonly durationMs: number;
};

async function sendLoad(path: CallPath, {clock, settings, random, ratePerSecond, durationMs}: LoadOpts): Promise<Windows> {
	const windows: Windows = {before: new Tally(), during: new Tally(), after: new Tally()};
	await sendOpenLoad(path, {
		ratePerSecond,
		durationMs,
		createCall: () => createCall(settings, random),
		onResult(result, delayMs, plannedMs) {
			const name = plannedMs < settings.faultStartMs ? 'before' : (plannedMs < settings.faultEndMs ? 'during' : 'after');
			windows[name].record(result, delayMs);
		},
	}, clock, random);
	return windows;
}

function createCall({hotPercent, deadlineMs}: ExperimentSettings, random: SeededRandom): Call {
	const requestId = createUuid();
	const isHot = random.generateIntegerBelow(hundredPercent) < hotPercent;
	return {
		requestId,
		service: experimentService.name,
		key: isHot ? 'hot' : `key-${random.generateIntegerBelow(keyCount)}`,
		method: 'POST',
		path: experimentService.lookupPath,
		body: requestId,
		idempotent: true,
		deadlineMs,
	};
}

/** Injects the fault of the experiment; returns the requests that a removed failure domain started after the drain allowance. */
async function applyFault(cluster: ExperimentCluster, clock: Clock, settings: ExperimentSettings): Promise<number> {
	if (settings.fault === 'none') {
		return 0;
	}

	const indexes = Array.from({length: settings.affected}, (_, index) => index);
	const durationMs = settings.faultEndMs - settings.faultStartMs;
	await clock.sleep(settings.faultStartMs);
	if (settings.fault === 'failure-domain') {
		return runFailureDomainRemoval(cluster, clock, settings);
	}

	if (settings.fault === 'straggler') {
		await Promise.all(indexes.map(async index => cluster.setFaults(index, {slowdown: settings.slowdown})));
		await clock.sleep(durationMs);
		await Promise.all(indexes.map(async index => cluster.setFaults(index, {slowdown: 1})));
		return 0;
	}

	const mode = settings.fault;
	await Promise.all(indexes.map(async index => cluster.setCold(index, mode)));
	return 0;
}

async function runFailureDomainRemoval(cluster: ExperimentCluster, clock: Clock, settings: ExperimentSettings): Promise<number> {
	const indexes = listVmIndexes(removedFailureDomain, settings.size);
	await cluster.setFailureDomain(removedFailureDomain, true);
	await clock.sleep(drainAllowanceMs);
	const before = await cluster.readCounts();
	await clock.sleep(settings.faultEndMs - settings.faultStartMs - drainAllowanceMs);
	const after = await cluster.readCounts();
	await cluster.setFailureDomain(removedFailureDomain, false);
	return indexes.reduce((sum, index) => sum + (after[index]?.started ?? 0) - (before[index]?.started ?? 0), 0);
}

function summarizeWindows(windows: Windows, settings: ExperimentSettings): Pick<StepResult, keyof Windows> {
	const endMs = Math.min(settings.faultEndMs, settings.durationMs);
	return {
		before: summarizeWindow(windows.before, settings.faultStartMs),
		during: summarizeWindow(windows.during, endMs - settings.faultStartMs),
		after: summarizeWindow(windows.after, settings.durationMs - endMs),
	};
}

function summarizeWindow(tally: Tally, durationMs: number): WindowResult {
	return {
		...tally.measurePercentiles(),
		calls: tally.calls,
		answers: tally.answers,
		goodput: durationMs === 0 ? 0 : tally.answers * msPerSecond / durationMs,
		failures: Object.fromEntries(tally.failures),
	};
}

type CountSummary = Pick<StepResult, 'attemptsPerCall' | 'coldOverruns' | 'imbalance' | 'mismatches'>;

function summarizeCounts(before: readonly BackendServerCounts[], after: readonly BackendServerCounts[], windows: Windows): CountSummary {
	const measure = (name: keyof BackendServerCounts): readonly number[] => after.map((counts, index) => counts[name] - (before[index]?.[name] ?? 0));
	const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
	const tallies = Object.values(windows);
	return {
		attemptsPerCall: (sum(measure('started')) + sum(measure('refused'))) / Math.max(1, sum(tallies.map(({calls}) => calls))),
		coldOverruns: sum(after.map(({coldOverruns}) => coldOverruns)),
		imbalance: measureImbalance(measure('started')),
		mismatches: sum(tallies.map(({mismatches}) => mismatches)),
	};
}
