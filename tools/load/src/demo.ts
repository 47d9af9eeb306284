import process from 'node:process';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import Table from 'cli-table3';
import {readCounts} from './backend-control.js';
import {NodePath, type CallResult} from './call.js';
import {createCall} from './calls.js';
import {startDeployment, type Deployment} from './deployment.js';
import {kartonpont, medoplech} from './deployments.js';
import {sendOpenLoad} from './open-load.js';
import {Tally} from './tally.js';
import {
	hasNoViolations, evaluateResults, measureImbalance, type Violations,
} from './violations.js';
import {sendBatches} from './batches.js';

const connectionsPerNode = 8;
const warmUpMs = 3000;

/** Load and durations of the demo. */
export type DemoOpts = {
	/** Calls per second to each deployment. */
	readonly ratePerSecond: number;
	readonly durationMs: number;
	/** Calls to each deployment in the phase with faults. */
	readonly batchedCalls: number;
	readonly batchSize: number;
	readonly seed: number;
};

/**
 * Runs both deployments at their current sizes under load, first without and then with faults, prints the results and
 * returns whether all checks passed.
 */
export async function runDemo(clock: Clock, opts: DemoOpts): Promise<boolean> {
	report('starting both deployments on loopback');
	const deployments = await Promise.all([medoplech, kartonpont].map(async plan => startDeployment(plan, clock, {serviceTimeMs: 5, slots: 18})));
	try {
		report(`warm-up: ${warmUpMs} ms of the same load, not counted`);
		await Promise.all(deployments.map(async deployment => runWarmUp(deployment, clock, opts)));
		report(`load without faults: ${opts.ratePerSecond} calls per second to each deployment for ${opts.durationMs} ms`);
		const withoutFaults = await Promise.all(deployments.map(async (deployment, index) => runWithoutFaults(deployment, clock, {...opts, seed: opts.seed + index})));
		report(`faults: ${opts.batchedCalls} calls to each in batches of ${opts.batchSize}; answers delayed, reordered, crossed, lost and cut`);
		const withFaults = await Promise.all(deployments.map(async (deployment, index) => runWithFaults(deployment, clock, {...opts, seed: opts.seed + index})));
		return [...withoutFaults, ...withFaults].every(Boolean);
	} finally {
		await Promise.all(deployments.map(async deployment => deployment.close()));
		report('stopped');
	}
}

async function runWarmUp(deployment: Deployment, clock: Clock, opts: DemoOpts): Promise<void> {
	const random = new SeededRandom(opts.seed);
	const path = createPath(deployment, clock);
	await sendOpenLoad(path, {
		...opts,
		durationMs: warmUpMs,
		createCall: () => createCall(deployment.plan, random),
		onResult() {
			// Not counted.
		},
	}, clock, random);
	await path.close();
}

async function runWithoutFaults(deployment: Deployment, clock: Clock, opts: DemoOpts): Promise<boolean> {
	const random = new SeededRandom(opts.seed);
	const path = createPath(deployment, clock);
	const before = await listStartedCounts(deployment);
	const results: CallResult[] = [];
	const tallies = new Map(deployment.plan.services.map(({name}) => [name, new Tally()]));
	await sendOpenLoad(path, {
		...opts,
		createCall: () => createCall(deployment.plan, random),
		onResult(result, delayMs) {
			results.push(result);
			tallies.get(result.call.service)?.record(result, delayMs);
		},
	}, clock, random);
	await path.close();
	const after = await listStartedCounts(deployment);
	const rows = [...tallies].map(([service, tally]) => createRow(service, tally, selectService(deployment, service, after.map((started, index) => started - (before[index] ?? 0)))));
	const violations = await evaluateResults(results, deployment);
	printRows(`${deployment.plan.tenant}, calm`, rows);
	printViolations(violations);
	return hasNoViolations(violations) && results.every(({kind}) => kind === 'answer');
}

async function runWithFaults(deployment: Deployment, clock: Clock, opts: DemoOpts): Promise<boolean> {
	const path = createPath(deployment, clock);
	const results = await sendBatches(deployment, path, opts);
	await path.close();
	const tally = new Tally();
	for (const result of results) {
		tally.record(result);
	}

	const violations = await evaluateResults(results, deployment);
	printRows(`${deployment.plan.tenant}, with faults`, [createRow('all', tally, [])]);
	printViolations(violations);
	return hasNoViolations(violations);
}

function createPath(deployment: Deployment, clock: Clock): NodePath {
	return new NodePath(clock, {origins: deployment.vms.map(vm => vm.process.callerOrigin), connectionsPerNode});
}

async function listStartedCounts(deployment: Deployment): Promise<readonly number[]> {
	return Promise.all(deployment.vms.map(async vm => {
		const {started} = await readCounts(vm.process.backendOrigin);
		return started;
	}));
}

function selectService(deployment: Deployment, service: string, values: readonly number[]): readonly number[] {
	return values.filter((_, index) => deployment.vms[index]?.service === service);
}

function createRow(service: string, tally: Tally, started: readonly number[]): readonly string[] {
	const {p50, p99, p999} = tally.measurePercentiles();
	const failures = [...tally.failures].map(([name, count]) => `${name}: ${count}`).join('\n');
	const counts = [String(tally.calls), String(tally.answers)];
	const latencies = [p50, p99, p999].map(milliseconds => milliseconds.toFixed(1));
	const imbalance = started.length === 0 ? '-' : measureImbalance(started).toFixed(2);
	return [service, ...counts, ...latencies, imbalance, failures === '' ? 'none' : failures];
}

function printRows(title: string, rows: ReadonlyArray<readonly string[]>): void {
	const table = new Table({head: [title, 'calls', 'answers', 'p50 ms', 'p99 ms', 'p99.9 ms', 'imbalance', 'failures'], style: {head: [], border: []}});
	for (const row of rows) {
		table.push([...row]);
	}

	report(table.toString());
}

function printViolations(violations: Violations): void {
	report(`mismatches ${violations.mismatches}, duplicate runs ${violations.duplicateRuns}, reported as not run but executed ${violations.falseNotRuns}`);
}

function report(text: string): void {
	process.stdout.write(`${text}\n`);
}
