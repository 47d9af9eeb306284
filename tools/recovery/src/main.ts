#!/usr/bin/env node
import {setMaxListeners} from 'node:events';
import process from 'node:process';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {measureControlCost} from './control-cost.js';
import type {Policy} from './process-messages.js';
import {runScenario, scenarioNames} from './scenarios.js';
import {formatTable} from './table.js';

const clock = new SystemClock();
const policies: readonly Policy[] = ['buckthornpoint', 'naive'];

setMaxListeners(0);

await yargs(hideBin(process.argv))
	.scriptName('buckthornpoint-recovery')
	.command('without-service', 'Measures how long partitions are unavailable after a fault, each in a new cell of 9 VMs', {
		scenario: {
			array: true, choices: scenarioNames, default: scenarioNames, describe: 'Faults to inject',
		},
		policy: {
			array: true, choices: policies, default: policies, describe: 'Ownership policies to measure',
		},
	}, async ({scenario, policy}) => {
		const results = [];
		for (const name of scenario) {
			for (const currentPolicy of policy) {
				results.push(await runScenario(name, currentPolicy, clock));
			}
		}

		print(results);
	})
	.command('control-cost', 'Measures the resources that an idle cell uses for coordination', {
		members: {
			array: true, type: 'number', default: [10, 13, 40], describe: 'Cell sizes to measure',
		},
	}, async ({members}) => {
		const results = [];
		for (const size of members) {
			results.push(await measureControlCost(Number(size), clock));
		}

		print(results);
	})
	.demandCommand(1, 'Name a command.')
	.strict()
	.parseAsync();

function print(results: ReadonlyArray<Readonly<Record<string, string | number>>>): void {
	process.stdout.write(`${JSON.stringify(results)}\n\n${formatTable(results)}\n`);
}
