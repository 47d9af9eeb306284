#!/usr/bin/env node
import {join} from 'node:path';
import process from 'node:process';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runSoak} from './run-soak.js';
import type {Mix} from './schedule.js';

const msPerSecond = 1000;
const mixes: readonly Mix[] = ['planned', 'planned-and-store', 'all', 'returns', 'restarts'];

/** Loopback networks 127.1 to 127.254; the process id selects one, so that concurrent soak tests rarely share one. */
const networks = 254;

const args = yargs(hideBin(process.argv))
	.scriptName('buckthornpoint-soak')
	.usage('$0 --seed N [--seconds S] [--nodes N]\n\nRuns nodes of a fleet as processes on loopback under load and faults, and checks what callers and backend servers see.')
	.option('seed', {type: 'number', demandOption: true, describe: 'Seed of the load and the faults'})
	.option('seconds', {type: 'number', default: 20, describe: 'Duration in seconds of the phase in which faults start'})
	.option('nodes', {type: 'number', default: 4, describe: 'Number of VMs'})
	.option('mix', {choices: mixes, describe: 'Kinds of faults; derived from the seed by default'})
	.option('results', {type: 'string', default: 'results/soak', describe: 'Folder for settings, logs and traces of failed runs'})
	.strict()
	.version('0.1.0')
	.parseSync();

const result = await runSoak(new SystemClock(), {
	seed: args.seed,
	durationMs: args.seconds * msPerSecond,
	nodes: args.nodes,
	mix: args.mix,
	network: `127.${1 + (process.pid % networks)}`,
	folder: join(args.results, `${args.seed}-${process.pid}`),
});
process.stdout.write(`${JSON.stringify({...result, violations: result.violations.length})}\n`);
for (const {atMs, rule, requestId, message} of result.violations) {
	process.stdout.write(`seed ${result.seed}, ${(atMs / msPerSecond).toFixed(3)} s, ${rule}${requestId === undefined ? '' : `, request ${requestId}`}: ${message}\n`);
}

process.exit(result.violations.length === 0 ? 0 : 1);
