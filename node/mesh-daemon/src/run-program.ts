import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {createSystemRandom} from '@buckthornpoint/clock/system-random.js';
import {formatFindings} from '@buckthornpoint/errors/findings.js';
import {BoundedJsonLog} from '@buckthornpoint/log/bounded-json-log.js';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {DeferredSignal} from './deferred-signal.js';
import {MeshNode} from './mesh-node.js';
import {parseMeshSettings, type MeshSettings} from './settings.js';
import {StallWatch} from './stall-watch.js';

/** Exit codes of `buckthornpoint-mesh-node`. The meaning of a code never changes. */
const exitCodes = {
	ok: 0, internal: 1, invalid: 2,
} as const;

/** Runs the command line of a mesh node and returns the exit code. On the signal `reload` the settings are read and validated again; they take effect at the next start. */
export async function runProgram(reload: DeferredSignal): Promise<number> {
	const args = parseArguments();
	const settings = readSettings(args.settings);
	if (settings === undefined) {
		return exitCodes.invalid;
	}

	return args.check ? exitCodes.ok : runNode(settings, args.settings, reload);
}

function parseArguments(): {readonly settings: string; readonly check: boolean} {
	return yargs(hideBin(process.argv))
		.scriptName('buckthornpoint-mesh-node')
		.usage('$0 --settings FILE [--check]\n\nRuns on the VM of a backend server and routes requests to the owners of their keys.')
		.option('settings', {type: 'string', demandOption: true, describe: 'Settings in JSON with comments'})
		.option('check', {type: 'boolean', default: false, describe: 'Validate the settings and exit'})
		.epilogue(`Exit codes: ${Object.entries(exitCodes).map(([name, code]) => `${code} ${name}`).join(', ')}. SIGTERM stops as planned; SIGHUP reads the settings again.`)
		.strict()
		.parseSync();
}

function readSettings(file: string): MeshSettings | undefined {
	const parsed = parseMeshSettings(readFileSync(file, 'utf8'), file);
	if (parsed.isErr()) {
		process.stderr.write(`${formatFindings(parsed.error)}\n`);
		return undefined;
	}

	return parsed.value;
}

async function runNode(initial: MeshSettings, file: string, reload: DeferredSignal): Promise<number> {
	const clock = new SystemClock();
	const log = new BoundedJsonLog({clock, minLevel: initial.logLevel, vmId: initial.vmId});
	const incarnation = randomUUID();
	const node = new MeshNode(initial, {
		clock, random: createSystemRandom(), log, incarnation,
	});
	process.on('uncaughtException', error => {
		log.write({event: 'internal-error', message: error.stack ?? error.message});
		node.refreshReads();
	});
	reload.subscribe(() => {
		log.write({event: 'settings-reloaded', outcome: readSettings(file) === undefined ? 'invalid; the earlier settings stay in force' : 'valid; takes effect at the next start'});
	});
	const stopped = new Promise<number>(resolve => {
		let isStopping = false;
		process.on('SIGTERM', () => {
			// A second signal must not end the process while it answers open requests.
			if (!isStopping) {
				isStopping = true;
				resolve(stopNode(node, log, initial.vmId));
			}
		});
	});
	try {
		await node.start();
	} catch (error) {
		// Without one of its listeners the node would be of no use, and would not say so.
		log.write({event: 'internal-error', message: `the node could not start and ends: ${String(error)}`});
		node.close();
		await log.close();
		return exitCodes.internal;
	}

	const stalls = new StallWatch({
		clock, onStall({lateMs, ...facts}) {
			log.write({
				event: 'process-stalled', stalledMs: lateMs, ...facts, message: 'connections, readiness checks and answers that were due waited for the process',
			});
		},
	});
	log.write({
		event: 'node-started', vmId: initial.vmId, incarnation, callerOrigin: initial.listen.callers, peerOrigin: initial.listen.peers,
	});
	const exitCode = await stopped;
	stalls.close();
	return exitCode;
}

async function stopNode(node: MeshNode, log: BoundedJsonLog, vmId: string): Promise<number> {
	log.write({event: 'node-stopping', vmId});
	let exitCode: number = exitCodes.ok;
	try {
		await node.stop();
		log.write({event: 'node-stopped', vmId});
	} catch (error) {
		exitCode = exitCodes.internal;
		log.write({event: 'internal-error', message: `the planned stop failed: ${String(error)}`});
	}

	node.close();
	await log.close();
	return exitCode;
}
