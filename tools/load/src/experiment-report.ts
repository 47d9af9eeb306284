import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import Table from 'cli-table3';
import * as echarts from 'echarts';
import type {ExperimentSettings} from './experiment-settings.js';
import type {StepResult} from './experiment.js';

const columns = ['load %', 'seed', 'p99 before', 'p99 during', 'ratio', 'p99.9 during', 'goodput/s', 'answered', 'attempts/call', 'cold overruns', 'late work', 'imbalance'];
const plotWidth = 900;
const plotHeight = 420;

/** Prints a summary of a finished step to stderr as a line of JSON, to show progress. */
export function printStep({router, seed, loadPercent, before, during}: StepResult): void {
	const text = {
		router, seed, loadPercent, p99Before: before.p99, p99During: during.p99, goodputDuring: Math.round(during.goodput),
	};
	process.stderr.write(`${JSON.stringify(text)}\n`);
}

/** Prints a table with one row for each seed, load and router. */
export function printExperiment(settings: ExperimentSettings, steps: readonly StepResult[]): void {
	const table = new Table({head: [settings.name, ...columns], style: {head: [], border: []}});
	for (const step of steps) {
		const {before, during, after} = step;
		const answers = before.answers + during.answers + after.answers;
		const calls = before.calls + during.calls + after.calls;
		table.push([
			step.router,
			String(step.loadPercent),
			String(step.seed),
			before.calls === 0 ? '-' : before.p99.toFixed(1),
			during.p99.toFixed(1),
			before.calls === 0 ? '-' : (during.p99 / before.p99).toFixed(2),
			during.p999.toFixed(1),
			during.goodput.toFixed(0),
			`${(answers * 100 / calls).toFixed(2)}%`,
			step.attemptsPerCall.toFixed(3),
			String(step.coldOverruns),
			String(step.lateWork),
			step.imbalance.toFixed(2),
		]);
	}

	process.stdout.write(`${table.toString()}\n`);
}

/** Writes the results as JSON and a plot as SVG into the folder; the files are named after the experiment. */
export async function writeExperiment(folder: string, settings: ExperimentSettings, steps: readonly StepResult[]): Promise<void> {
	await mkdir(folder, {recursive: true});
	await writeFile(path.join(folder, `${settings.name}.json`), `${JSON.stringify({settings, steps}, undefined, '\t')}\n`);
	await writeFile(path.join(folder, `${settings.name}.svg`), renderPlot(settings, steps));
}

/** Renders an SVG plot of p99 and goodput during the fault for both routers, by load and seed. */
export function renderPlot(settings: ExperimentSettings, steps: readonly StepResult[]): string {
	const chart = echarts.init(null, null, {
		renderer: 'svg', ssr: true, width: plotWidth, height: plotHeight,
	});
	const labels = steps.filter(({router}) => router === 'policy').map(({loadPercent, seed}) => `${loadPercent}% seed ${seed}`);
	const pick = (router: StepResult['router'], read: (step: StepResult) => number): readonly number[] => steps.filter(step => step.router === router).map(step => read(step));
	chart.setOption({
		animation: false,
		title: {text: settings.name},
		legend: {bottom: 0},
		xAxis: {type: 'category', data: labels},
		yAxis: [{type: 'value', name: 'p99 during, ms'}, {type: 'value', name: 'goodput/s'}],
		series: [
			{name: 'policy p99', type: 'bar', data: pick('policy', ({during}) => during.p99)},
			{name: 'naive p99', type: 'bar', data: pick('naive', ({during}) => during.p99)},
			{
				name: 'policy goodput', type: 'line', yAxisIndex: 1, data: pick('policy', ({during}) => during.goodput),
			},
			{
				name: 'naive goodput', type: 'line', yAxisIndex: 1, data: pick('naive', ({during}) => during.goodput),
			},
		],
	});
	const svg = chart.renderToSVGString();
	chart.dispose();
	return svg;
}
