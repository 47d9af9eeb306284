#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {toBuckthornpointError} from '@buckthornpoint/errors/errors.js';
import {formatFindings} from '@buckthornpoint/errors/findings.js';
import {parseNodeSettings} from '@buckthornpoint/settings/parse-settings.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {startDaemon} from './daemon.js';
import {exitCodes} from './exit-codes.js';
import {createLog, createMetrics} from './observers.js';
import {watchStopSignals} from './stop-signals.js';

type Arguments = {
	readonly settings: string;
	readonly check: boolean;
};

const epilogue = `Exit codes: ${Object.entries(exitCodes).map(([name, code]) => `${code} ${name}`).join(', ')}.
The first SIGTERM or SIGINT hands all partitions over and stops; a second one stops at once.`;

process.exitCode = await runNode(parseArguments());

function parseArguments(): Arguments {
	return yargs(hideBin(process.argv))
		.scriptName('buckthornpoint-node')
		.usage('$0 --settings FILE [--check]\n\nRuns on the VM of a backend server and routes requests to the owners of their keys.')
		.option('settings', {type: 'string', demandOption: true, describe: 'Settings in JSON with comments'})
		.option('check', {type: 'boolean', default: false, describe: 'Validate the settings and exit'})
		.example('$0 --settings /etc/buckthornpoint/node.jsonc --check', 'Reports all findings with line and column')
		.epilogue(epilogue)
		.fail((message, error, parser) => {
			process.stderr.write(`${message || String(error)}\n\n`);
			parser.showHelp('error');
			process.exit(exitCodes.invalid);
		})
		.strict()
		.parseSync();
}

async function runNode(args: Arguments): Promise<number> {
	const text = await readSettingsFile(args.settings);
	if (text === undefined) {
		return exitCodes.invalid;
	}

	const settings = parseNodeSettings(text, args.settings);
	if (settings.isErr()) {
		process.stderr.write(`${formatFindings(settings.error)}\n`);
		return exitCodes.invalid;
	}

	return args.check ? exitCodes.ok : runUntilStopped(settings.value);
}

async function readSettingsFile(file: string): Promise<string | undefined> {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		process.stderr.write(`${file}: ${toBuckthornpointError(error).message}\n`);
		return undefined;
	}
}

async function runUntilStopped(settings: NodeSettings): Promise<number> {
	const log = createLog(settings);
	const metrics = createMetrics(settings);
	try {
		const daemon = await startDaemon(settings, {clock: new SystemClock(), log, metrics});
		await waitForStopSignal();
		await daemon.stop();
		return exitCodes.ok;
	} catch (error) {
		const {message} = toBuckthornpointError(error);
		log.write({event: 'internal-error', message});
		return isListenError(error) ? exitCodes.cannotListen : exitCodes.internal;
	} finally {
		await metrics.close();
	}
}

async function waitForStopSignal(): Promise<void> {
	await new Promise<void>(resolve => {
		watchStopSignals({
			onStop: resolve,
			onStopAtOnce() {
				process.exit(exitCodes.stoppedAtOnce);
			},
		});
	});
}

function isListenError(error: unknown): boolean {
	return error instanceof Error && 'syscall' in error && error.syscall === 'listen';
}
