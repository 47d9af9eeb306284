#!/usr/bin/env node
import process from 'node:process';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import yargs from 'yargs';
import {runDemo} from './demo.js';
import {printExperiment, printStep, writeExperiment} from './experiment-report.js';
import {parseExperimentSettings} from './experiment-settings.js';
import {runExperiment} from './experiment.js';
import {parseHopsSettings} from './hops-settings.js';
import {printHops, runHops} from './hops.js';
import {readSettings} from './read-settings.js';
import {runSlopes} from './slopes.js';

const firstArgument = 2;
const clock = new SystemClock();

await yargs(process.argv.slice(firstArgument))
	.scriptName('buckthornpoint-load')
	.command('demo', 'Runs both deployments on loopback under load, without and with faults', {
		rate: {type: 'number', default: 100, describe: 'Calls per second to each deployment'},
		duration: {type: 'number', default: 10_000, describe: 'Duration of the load without faults, in milliseconds'},
		calls: {type: 'number', default: 5000, describe: 'Calls to each deployment in the phase with faults'},
		seed: {type: 'number', default: 1, describe: 'Seed for the randomly generated calls'},
	}, async values => {
		const hasPassed = await runDemo(clock, {
			ratePerSecond: Number(values.rate), durationMs: Number(values.duration), batchedCalls: Number(values.calls), batchSize: 100, seed: Number(values.seed),
		});
		process.exitCode = hasPassed ? 0 : 1;
	})
	.command('hops', 'Measures the direct path and the paths through one and two nodes', {
		settings: {type: 'string', default: 'tools/load/experiments/hops.jsonc', describe: 'Settings file'},
	}, async values => {
		printHops(await runHops(clock, await readSettings(String(values.settings), parseHopsSettings)));
	})
	.command('experiment <file>', 'Compares the policy with the naive router under a load and a fault', {
		results: {type: 'string', default: 'docs/measurements', describe: 'Folder for the results as JSON and SVG'},
	}, async values => {
		const settings = await readSettings(String(values.file), parseExperimentSettings);
		const steps = await runExperiment(clock, settings, printStep);
		printExperiment(settings, steps);
		await writeExperiment(String(values.results), settings, steps);
	})
	.command('slopes', 'Measures the growth rates on which docs/CAPACITY.md is based', {}, async () => runSlopes(clock))
	.demandCommand(1, 'Name a command.')
	.strict()
	.help()
	.version('0.1.0')
	.parseAsync();
